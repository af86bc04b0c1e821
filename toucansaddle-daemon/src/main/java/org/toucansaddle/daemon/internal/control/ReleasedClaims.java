package org.toucansaddle.daemon.internal.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.protocol.generated.ReleasedClaim;

/**
 * Claims that were given back before the command that makes them arrived.
 *
 * <p>A proposal whose answer was lost may be committed later; without this it would hold its key
 * for a day although nothing runs. Part of the control state. Not thread-safe.
 */
final class ReleasedClaims {

  private static final long EXPIRY_MILLIS = 600_000;
  private static final int MAX_RELEASED = 10_000;

  private final LinkedHashMap<String, Long> expiryByCommand = new LinkedHashMap<>();

  void add(String commandId, long nowMillis) {
    if (commandId.isEmpty()) {
      return;
    }
    expiryByCommand.put(commandId, nowMillis + EXPIRY_MILLIS);
    expiryByCommand.values().removeIf(expiry -> expiry <= nowMillis);
    if (expiryByCommand.size() > MAX_RELEASED) {
      expiryByCommand.remove(expiryByCommand.keySet().iterator().next());
    }
  }

  boolean contains(String commandId, long nowMillis) {
    return expiryByCommand.getOrDefault(commandId, Long.MIN_VALUE) > nowMillis;
  }

  List<ReleasedClaim> stored() {
    return expiryByCommand.entrySet().stream().map(ReleasedClaims::stored).toList();
  }

  private static ReleasedClaim stored(Map.Entry<String, Long> entry) {
    return ReleasedClaim.newBuilder()
        .setCommandId(entry.getKey())
        .setExpiresAtMillis(entry.getValue())
        .build();
  }

  void restore(List<ReleasedClaim> stored) {
    expiryByCommand.clear();
    stored.forEach(claim -> expiryByCommand.put(claim.getCommandId(), claim.getExpiresAtMillis()));
  }
}
