package org.toucansaddle.daemon.internal.control;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.toucansaddle.protocol.generated.Claim;
import org.toucansaddle.protocol.generated.ClaimOutcome;
import org.toucansaddle.protocol.generated.ClaimResult;
import org.toucansaddle.protocol.generated.ClaimResult.State;
import org.toucansaddle.protocol.generated.Command;
import org.toucansaddle.protocol.generated.StoredClaim;

/**
 * Claims on idempotency keys of calls that must run at most once.
 *
 * <p>Invariant: a key is granted to a single command until that command's router releases it
 * without running the call, or until the claim expires. Part of the replicated control state, so it
 * is identical on every replica. Not thread-safe.
 */
final class ClaimTable {

  private static final long RETENTION_MILLIS = 24L * 60 * 60 * 1_000;
  private static final int MAX_CLAIMS = 200_000;
  private static final long MAX_TOTAL_BODY_BYTES = 64L << 20;

  private record Key(int account, ByteString key) {}

  private final Map<Key, StoredClaim> claims = new HashMap<>();
  private final TreeMap<Long, Key> keysInExpiryOrder = new TreeMap<>();
  private long totalBodyBytes;
  private final ReleasedClaims releasedClaims = new ReleasedClaims();
  private long lastExpirySequence;

  /**
   * Claims a key for the sender of the command.
   *
   * @return GRANTED, or the state of the claim that prevents it; FULL if the table has no room
   */
  ClaimResult claim(Command command, long nowMillis) {
    evictExpired(nowMillis);
    if (releasedClaims.contains(command.getCommandId(), nowMillis)) {
      return result(State.RELEASED).build();
    }
    Claim claim = command.getClaim();
    Key key = new Key(claim.getAccount(), claim.getKey());
    StoredClaim existing = claims.get(key);
    if (existing != null) {
      return resultForExisting(existing, command);
    }
    if (claims.size() >= MAX_CLAIMS || totalBodyBytes >= MAX_TOTAL_BODY_BYTES) {
      return result(State.FULL).build();
    }
    put(
        key,
        StoredClaim.newBuilder()
            .setClaim(claim)
            .setState(State.RUNNING)
            .setCommandId(command.getCommandId())
            .setExpiresAtMillis(nowMillis + RETENTION_MILLIS)
            .build());
    return result(State.GRANTED).build();
  }

  private static ClaimResult resultForExisting(StoredClaim existing, Command command) {
    if (!existing.getClaim().getDigest().equals(command.getClaim().getDigest())) {
      return result(State.MISMATCH).build();
    }
    boolean resent = existing.getCommandId().equals(command.getCommandId());
    if (resent && existing.getState() == State.RUNNING) {
      return result(State.GRANTED).build();
    }
    return result(existing.getState())
        .setOutcome(existing.getOutcome())
        .setRouter(existing.getClaim().getRouter())
        .setRouterIncarnation(existing.getClaim().getRouterIncarnation())
        .build();
  }

  /**
   * Records the outcome of a claimed call, or releases the claim.
   *
   * @return the new state, or MISMATCH if the sender does not hold a running claim on the key
   */
  ClaimResult complete(ClaimOutcome outcome, long nowMillis) {
    Key key = new Key(outcome.getAccount(), outcome.getKey());
    StoredClaim existing = claims.get(key);
    if (outcome.getReleased()) {
      releasedClaims.add(outcome.getClaimCommandId(), nowMillis);
    }
    if (existing == null
        || existing.getState() != State.RUNNING
        || !isHeldBySender(existing, outcome)) {
      return result(State.MISMATCH).build();
    }
    if (outcome.getReleased()) {
      claims.remove(key);
      return result(State.DONE).build();
    }
    State state = outcome.getUnknown() ? State.LOST : State.DONE;
    totalBodyBytes += outcome.getBody().size();
    claims.put(key, existing.toBuilder().setState(state).setOutcome(outcome).build());
    return result(state).build();
  }

  private static boolean isHeldBySender(StoredClaim existing, ClaimOutcome outcome) {
    Claim claim = existing.getClaim();
    return claim.getRouter().equals(outcome.getRouter())
        && claim.getRouterIncarnation() == outcome.getRouterIncarnation();
  }

  ReleasedClaims releasedClaims() {
    return releasedClaims;
  }

  private void put(Key key, StoredClaim claim) {
    claims.put(key, claim);
    totalBodyBytes += claim.getOutcome().getBody().size();
    lastExpirySequence++;
    keysInExpiryOrder.put(lastExpirySequence, key);
  }

  /** Evicts expired claims; relies on claims being added in order of expiry. */
  private void evictExpired(long nowMillis) {
    while (!keysInExpiryOrder.isEmpty()) {
      Key key = keysInExpiryOrder.firstEntry().getValue();
      StoredClaim claim = claims.get(key);
      if (claim != null && claim.getExpiresAtMillis() > nowMillis) {
        return;
      }
      keysInExpiryOrder.pollFirstEntry();
      if (claim != null) {
        claims.remove(key);
        totalBodyBytes -= claim.getOutcome().getBody().size();
      }
    }
  }

  List<StoredClaim> snapshot() {
    return keysInExpiryOrder.values().stream()
        .distinct()
        .map(claims::get)
        .filter(claim -> claim != null)
        .toList();
  }

  void restore(List<StoredClaim> claimsToRestore) {
    claims.clear();
    keysInExpiryOrder.clear();
    totalBodyBytes = 0;
    for (StoredClaim claim : claimsToRestore) {
      put(new Key(claim.getClaim().getAccount(), claim.getClaim().getKey()), claim);
    }
  }

  int size() {
    return claims.size();
  }

  private static ClaimResult.Builder result(State state) {
    return ClaimResult.newBuilder().setState(state);
  }
}
