package org.toucansaddle.daemon.internal.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.StoredResult;

/**
 * Results of the most recent operator commands by command id, so that a resent command receives the
 * result of its first execution.
 *
 * <p>Part of the replicated control state, so it is identical on every replica. Not thread-safe.
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

  void restore(List<StoredResult> storedResults) {
    results.clear();
    storedResults.forEach(result -> results.put(result.getCommandId(), result.getResult()));
  }
}
