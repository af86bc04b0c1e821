package org.toucansaddle.daemon.internal.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.StoredResult;

/**
 * Results of the newest operators' commands by command id, so that a resend gets the first result.
 *
 * <p>Part of the control state: every replica holds the same. Not thread-safe.
 */
final class CommandResults {

  private static final int MAX_RESULTS = 5_000;

  private final LinkedHashMap<String, CommandResult> results =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, CommandResult> eldest) {
          return size() > MAX_RESULTS;
        }
      };

  Optional<CommandResult> find(String commandId) {
    return Optional.ofNullable(results.get(commandId));
  }

  void put(String commandId, CommandResult result) {
    results.put(commandId, result);
  }

  List<StoredResult> snapshot() {
    return results.entrySet().stream()
        .map(
            entry ->
                StoredResult.newBuilder()
                    .setCommandId(entry.getKey())
                    .setResult(entry.getValue())
                    .build())
        .toList();
  }

  void restore(List<StoredResult> stored) {
    results.clear();
    stored.forEach(item -> results.put(item.getCommandId(), item.getResult()));
  }
}
