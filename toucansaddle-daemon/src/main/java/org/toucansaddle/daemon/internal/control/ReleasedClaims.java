package org.toucansaddle.daemon.internal.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.protocol.generated.ReleasedClaim;

/**
 * Command ids of claims that were released before the claiming command was applied.
 *
 * <p>A proposal whose reply was lost may be committed later. Without this table the claim would
 * then hold the key for a day although no call runs. Part of the replicated control state. Not
 * thread-safe.
 */
final class ReleasedClaims {

  private static final long RETENTION_MILLIS = 600_000;
  private static final int MAX_RELEASED_CLAIMS = 10_000;

  private final LinkedHashMap<String, Long> expiresAtMillisByCommandId = new LinkedHashMap<>();

  void add(String commandId, long nowMillis) {
    if (commandId.isEmpty()) {
      return;
    }
    expiresAtMillisByCommandId.put(commandId, nowMillis + RETENTION_MILLIS);
    expiresAtMillisByCommandId.values().removeIf(expiresAtMillis -> expiresAtMillis <= nowMillis);
    if (expiresAtMillisByCommandId.size() > MAX_RELEASED_CLAIMS) {
      expiresAtMillisByCommandId.remove(expiresAtMillisByCommandId.keySet().iterator().next());
    }
  }

  boolean contains(String commandId, long nowMillis) {
    return expiresAtMillisByCommandId.getOrDefault(commandId, Long.MIN_VALUE) > nowMillis;
  }

  List<ReleasedClaim> snapshot() {
    return expiresAtMillisByCommandId.entrySet().stream().map(ReleasedClaims::toProto).toList();
  }

  private static ReleasedClaim toProto(Map.Entry<String, Long> entry) {
    return ReleasedClaim.newBuilder()
        .setCommandId(entry.getKey())
        .setExpiresAtMillis(entry.getValue())
        .build();
  }

  void restore(List<ReleasedClaim> storedClaims) {
    expiresAtMillisByCommandId.clear();
    storedClaims.forEach(
        claim -> expiresAtMillisByCommandId.put(claim.getCommandId(), claim.getExpiresAtMillis()));
  }
}
