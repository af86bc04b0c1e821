package org.toucansaddle.coordination.internal.replication;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;

/** Election timer and the votes received in one candidacy. Not thread-safe. */
final class Election {

  private final int timeoutMillis;
  private final SplittableRandom random;
  private final Set<ReplicaId> votes = new HashSet<>();
  private long deadline;
  private long leaderHeardAt;

  Election(int timeoutMillis, SplittableRandom random, long now) {
    this.timeoutMillis = timeoutMillis;
    this.random = random;
    heardLeader(now);
  }

  /**
   * Records a sign of life of the leader; also called at start, since an earlier one may be lost.
   */
  void heardLeader(long now) {
    leaderHeardAt = now;
    restartTimer(now);
  }

  /** Draws a new deadline. */
  void restartTimer(long now) {
    deadline = now + timeoutMillis + random.nextInt(timeoutMillis);
  }

  /** Returns whether a leader may still hold its lease, so that no vote may be given. */
  boolean leaderMayBeAlive(long now) {
    return now - leaderHeardAt < timeoutMillis;
  }

  boolean timedOut(long now) {
    return now >= deadline;
  }

  /** Starts a candidacy with the candidate's own vote. */
  void begin(ReplicaId self, long now) {
    votes.clear();
    votes.add(self);
    restartTimer(now);
  }

  void vote(ReplicaId from) {
    votes.add(from);
  }

  boolean won(ReplicaSet members) {
    return members.isQuorum(votes::contains);
  }
}
