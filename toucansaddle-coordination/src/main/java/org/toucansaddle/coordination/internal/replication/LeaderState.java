package org.toucansaddle.coordination.internal.replication;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;

/**
 * What a leader knows of the other replicas during one term.
 *
 * <p>Rounds number the leader's heartbeats. A round answered by a quorum proves that no other
 * replica led when the round was sent. Not thread-safe.
 */
final class LeaderState {

  private static final int RESPONSIVE_ROUNDS = 3;

  private final ReplicaId self;
  private final Map<ReplicaId, PeerProgress> peers = new TreeMap<>();
  private final TreeMap<Long, Long> roundSentAt = new TreeMap<>();
  private long round;
  private long quorumRound;
  private long quorumSentAt;

  LeaderState(ReplicaId self, long electedAt) {
    this.self = self;
    this.quorumSentAt = electedAt;
  }

  /** Returns the progress of a peer, starting after {@code lastIndex} if it is new. */
  PeerProgress progress(ReplicaId peer, long lastIndex) {
    return peers.computeIfAbsent(peer, id -> new PeerProgress(lastIndex + 1));
  }

  /** Forgets peers that are not in the set. */
  void retain(ReplicaSet members) {
    peers.keySet().removeIf(id -> !members.contains(id));
  }

  /** Starts a round and returns its number. */
  long startRound(long now) {
    round++;
    roundSentAt.put(round, now);
    return round;
  }

  long round() {
    return round;
  }

  /** Records that a peer answered a round, and which rounds a quorum has now answered. */
  void acknowledged(ReplicaId peer, long ackedRound, ReplicaSet members) {
    PeerProgress progress = peers.get(peer);
    if (progress == null) {
      return;
    }
    progress.ackRound(ackedRound);
    updateQuorumRound(members);
  }

  /** Recomputes the highest round that a quorum has answered. */
  void updateQuorumRound(ReplicaSet members) {
    while (!roundSentAt.isEmpty()) {
      long candidate = roundSentAt.firstKey();
      if (!members.isQuorum(id -> id.equals(self) || ackedRound(id) >= candidate)) {
        return;
      }
      quorumRound = candidate;
      quorumSentAt = roundSentAt.pollFirstEntry().getValue();
    }
  }

  private long ackedRound(ReplicaId id) {
    PeerProgress progress = peers.get(id);
    return progress == null ? 0 : progress.ackedRound();
  }

  /** Returns the highest round that a quorum has answered. */
  long quorumRound() {
    return quorumRound;
  }

  /** Returns when that round was sent. */
  long quorumSentAt() {
    return quorumSentAt;
  }

  /** Returns the highest index that is on the disks of a quorum. */
  long quorumIndex(ReplicaSet members, long ownDurableIndex, long from) {
    long index = from;
    while (isOnQuorum(members, ownDurableIndex, index + 1)) {
      index++;
    }
    return index;
  }

  private boolean isOnQuorum(ReplicaSet members, long ownDurableIndex, long index) {
    return members.isQuorum(id -> matchIndex(id, ownDurableIndex) >= index);
  }

  private long matchIndex(ReplicaId id, long ownDurableIndex) {
    if (id.equals(self)) {
      return ownDurableIndex;
    }
    PeerProgress progress = peers.get(id);
    return progress == null ? 0 : progress.matchIndex();
  }

  /** Returns the peers that answered one of the last rounds. */
  Set<ReplicaId> responsive() {
    Set<ReplicaId> found = new TreeSet<>();
    peers.forEach(
        (id, progress) -> {
          if (progress.ackedRound() + RESPONSIVE_ROUNDS >= round) {
            found.add(id);
          }
        });
    return found;
  }

  /** Returns the match index of each known peer. */
  Map<ReplicaId, Long> matchIndexes() {
    Map<ReplicaId, Long> all = new TreeMap<>();
    peers.forEach((id, progress) -> all.put(id, progress.matchIndex()));
    return all;
  }
}
