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
 * Claims for calls that run once.
 *
 * <p>Invariant: a key is granted to one command only, until that command's router gives it back
 * unrun or the claim expires. Part of the control state: every replica holds the same. Not
 * thread-safe.
 */
final class ClaimTable {

  private static final long EXPIRY_MILLIS = 24L * 60 * 60 * 1_000;
  private static final int MAX_CLAIMS = 200_000;
  private static final long MAX_BODY_BYTES = 64L << 20;

  private record Key(int account, ByteString key) {}

  private final Map<Key, StoredClaim> claims = new HashMap<>();
  private final TreeMap<Long, Key> expiries = new TreeMap<>();
  private long bodyBytes;
  private final ReleasedClaims released = new ReleasedClaims();
  private long expirySequence;

  /** Claims a key for the sender of the command. */
  ClaimResult claim(Command command, long nowMillis) {
    expire(nowMillis);
    if (released.contains(command.getCommandId(), nowMillis)) {
      return result(State.RELEASED).build();
    }
    Claim claim = command.getClaim();
    Key key = new Key(claim.getAccount(), claim.getKey());
    StoredClaim known = claims.get(key);
    if (known != null) {
      return answerKnown(known, command);
    }
    if (claims.size() >= MAX_CLAIMS || bodyBytes >= MAX_BODY_BYTES) {
      return result(State.FULL).build();
    }
    put(
        key,
        StoredClaim.newBuilder()
            .setClaim(claim)
            .setState(State.RUNNING)
            .setCommandId(command.getCommandId())
            .setExpiresAtMillis(nowMillis + EXPIRY_MILLIS)
            .build());
    return result(State.GRANTED).build();
  }

  private static ClaimResult answerKnown(StoredClaim known, Command command) {
    if (!known.getClaim().getDigest().equals(command.getClaim().getDigest())) {
      return result(State.MISMATCH).build();
    }
    boolean resent = known.getCommandId().equals(command.getCommandId());
    if (resent && known.getState() == State.RUNNING) {
      return result(State.GRANTED).build();
    }
    return result(known.getState())
        .setOutcome(known.getOutcome())
        .setRouter(known.getClaim().getRouter())
        .setRouterIncarnation(known.getClaim().getRouterIncarnation())
        .build();
  }

  /** Records the outcome of a claimed call, from the router that holds the claim. */
  ClaimResult complete(ClaimOutcome outcome, long nowMillis) {
    Key key = new Key(outcome.getAccount(), outcome.getKey());
    StoredClaim known = claims.get(key);
    if (outcome.getReleased()) {
      released.add(outcome.getClaimCommandId(), nowMillis);
    }
    if (known == null || known.getState() != State.RUNNING || !isOwner(known, outcome)) {
      return result(State.MISMATCH).build();
    }
    if (outcome.getReleased()) {
      claims.remove(key);
      return result(State.DONE).build();
    }
    State state = outcome.getUnknown() ? State.LOST : State.DONE;
    bodyBytes += outcome.getBody().size();
    claims.put(key, known.toBuilder().setState(state).setOutcome(outcome).build());
    return result(state).build();
  }

  private static boolean isOwner(StoredClaim known, ClaimOutcome outcome) {
    Claim claim = known.getClaim();
    return claim.getRouter().equals(outcome.getRouter())
        && claim.getRouterIncarnation() == outcome.getRouterIncarnation();
  }

  ReleasedClaims released() {
    return released;
  }

  private void put(Key key, StoredClaim claim) {
    claims.put(key, claim);
    bodyBytes += claim.getOutcome().getBody().size();
    expirySequence++;
    expiries.put(expirySequence, key);
  }

  /** Removes expired claims; they were added in the order of their expiry. */
  private void expire(long nowMillis) {
    while (!expiries.isEmpty()) {
      Key key = expiries.firstEntry().getValue();
      StoredClaim claim = claims.get(key);
      if (claim != null && claim.getExpiresAtMillis() > nowMillis) {
        return;
      }
      expiries.pollFirstEntry();
      if (claim != null) {
        claims.remove(key);
        bodyBytes -= claim.getOutcome().getBody().size();
      }
    }
  }

  List<StoredClaim> stored() {
    return expiries.values().stream().distinct().map(claims::get).filter(c -> c != null).toList();
  }

  void restore(List<StoredClaim> stored) {
    claims.clear();
    expiries.clear();
    bodyBytes = 0;
    for (StoredClaim claim : stored) {
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
