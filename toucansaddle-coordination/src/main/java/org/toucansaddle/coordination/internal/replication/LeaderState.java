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

  private static final int RESPONSIVE_WINDOW_ROUNDS = 3;

  private final ReplicaId self;
  private final Map<ReplicaId, PeerProgress> peers = new TreeMap<>();
  private final TreeMap<Long, Long> roundSentAtMillis = new TreeMap<>();
  private long round;
  private long quorumRound;
  private long quorumRoundSentAtMillis;

  LeaderState(ReplicaId self, long electedAt) {
    this.self = self;
    this.quorumRoundSentAtMillis = electedAt;
  }

  /** Returns the progress of a peer, starting after {@code lastIndex} if it is new. */
  PeerProgress progress(ReplicaId peer, long lastIndex) {
    return peers.computeIfAbsent(peer, id -> new PeerProgress(lastIndex + 1));
  }

  /** Forgets peers that are not in the set. */
  void retainMembers(ReplicaSet members) {
    peers.keySet().removeIf(id -> !members.contains(id));
  }

  /** Starts a round and returns its number. */
  long startRound(long now) {
    round++;
    roundSentAtMillis.put(round, now);
    return round;
  }

  long round() {
    return round;
  }

  /** Records that a peer answered a round, and which rounds a quorum has now answered. */
  void recordAcknowledgement(ReplicaId peer, long ackedRound, ReplicaSet members) {
    PeerProgress progress = peers.get(peer);
    if (progress == null) {
      return;
    }
    progress.recordAcknowledgedRound(ackedRound);
    updateQuorumRound(members);
  }

  /** Recomputes the highest round that a quorum has answered. */
  void updateQuorumRound(ReplicaSet members) {
    while (!roundSentAtMillis.isEmpty()) {
      long candidate = roundSentAtMillis.firstKey();
      if (!members.isQuorum(id -> id.equals(self) || acknowledgedRound(id) >= candidate)) {
        return;
      }
      quorumRound = candidate;
      quorumRoundSentAtMillis = roundSentAtMillis.pollFirstEntry().getValue();
    }
  }

  private long acknowledgedRound(ReplicaId id) {
    PeerProgress progress = peers.get(id);
    return progress == null ? 0 : progress.acknowledgedRound();
  }

  /** Returns the highest round that a quorum has answered. */
  long quorumRound() {
    return quorumRound;
  }

  /** Returns when that round was sent. */
  long quorumRoundSentAtMillis() {
    return quorumRoundSentAtMillis;
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
  Set<ReplicaId> responsivePeers() {
    Set<ReplicaId> found = new TreeSet<>();
    peers.forEach(
        (id, progress) -> {
          if (progress.acknowledgedRound() + RESPONSIVE_WINDOW_ROUNDS >= round) {
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
