package org.toucansaddle.coordination.internal.replication;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;

/**
 * State that a leader tracks about the other replicas during one term.
 *
 * <p>Heartbeat rounds are numbered. A round acknowledged by a quorum proves that no other replica
 * was the leader when the round was sent. Not thread-safe.
 */
final class LeaderState {

  /** A responsive peer's last acknowledged round is at most this many rounds old. */
  private static final int RESPONSIVE_WINDOW_ROUNDS = 3;

  private final ReplicaId self;
  private final Map<ReplicaId, PeerProgress> peers = new TreeMap<>();
  private final TreeMap<Long, Long> roundSentAtMillis = new TreeMap<>();
  private long round;
  private long quorumRound;
  private long quorumRoundSentAtMillis;

  LeaderState(ReplicaId self, long electedAtMillis) {
    this.self = self;
    this.quorumRoundSentAtMillis = electedAtMillis;
  }

  /** Returns the progress of a peer; a new peer starts after {@code lastIndex}. */
  PeerProgress progress(ReplicaId peer, long lastIndex) {
    return peers.computeIfAbsent(peer, id -> new PeerProgress(lastIndex + 1));
  }

  /** Removes peers that are not in the set. */
  void retainMembers(ReplicaSet members) {
    peers.keySet().removeIf(id -> !members.contains(id));
  }

  /** Starts a heartbeat round and returns its number. */
  long startRound(long nowMillis) {
    round++;
    roundSentAtMillis.put(round, nowMillis);
    return round;
  }

  long round() {
    return round;
  }

  /** Records that a peer acknowledged a round, and updates the quorum round. */
  void recordAcknowledgement(ReplicaId peer, long acknowledgedRound, ReplicaSet members) {
    PeerProgress progress = peers.get(peer);
    if (progress == null) {
      return;
    }
    progress.recordAcknowledgedRound(acknowledgedRound);
    updateQuorumRound(members);
  }

  /** Recomputes the highest round that a quorum has acknowledged. */
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

  /** Returns the highest round that a quorum has acknowledged. */
  long quorumRound() {
    return quorumRound;
  }

  /** Returns when the quorum round was sent, or the time of the election before the first one. */
  long quorumRoundSentAtMillis() {
    return quorumRoundSentAtMillis;
  }

  /** Returns the highest index, from {@code fromIndex} upwards, that is durable on a quorum. */
  long quorumIndex(ReplicaSet members, long localDurableIndex, long fromIndex) {
    long index = fromIndex;
    while (isDurableOnQuorum(members, localDurableIndex, index + 1)) {
      index++;
    }
    return index;
  }

  private boolean isDurableOnQuorum(ReplicaSet members, long localDurableIndex, long index) {
    return members.isQuorum(id -> matchIndex(id, localDurableIndex) >= index);
  }

  private long matchIndex(ReplicaId id, long localDurableIndex) {
    if (id.equals(self)) {
      return localDurableIndex;
    }
    PeerProgress progress = peers.get(id);
    return progress == null ? 0 : progress.matchIndex();
  }

  /** Returns the peers that acknowledged one of the recent rounds. */
  Set<ReplicaId> responsivePeers() {
    Set<ReplicaId> responsive = new TreeSet<>();
    peers.forEach(
        (id, progress) -> {
          if (progress.acknowledgedRound() + RESPONSIVE_WINDOW_ROUNDS >= round) {
            responsive.add(id);
          }
        });
    return responsive;
  }

  /** Returns the match index of each tracked peer. */
  Map<ReplicaId, Long> matchIndexes() {
    Map<ReplicaId, Long> matchIndexes = new TreeMap<>();
    peers.forEach((id, progress) -> matchIndexes.put(id, progress.matchIndex()));
    return matchIndexes;
  }
}
