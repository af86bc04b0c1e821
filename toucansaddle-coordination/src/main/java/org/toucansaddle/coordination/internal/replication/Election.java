package org.toucansaddle.coordination.internal.replication;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;

/** Election timer and the votes received in one candidacy. Not thread-safe. */
final class Election {

  /**
   * Parts of the timeout after which a candidate asks again. Replicas that started later than it
   * stay silent until their own timeout is over, and must not cost a whole candidacy.
   */
  private static final int ASKS_IN_TIMEOUT = 6;

  private final int timeoutMillis;
  private final SplittableRandom random;
  private final Set<ReplicaId> votes = new HashSet<>();
  private long deadline;
  private long askAgainAt;
  private long begunAt;
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
    begunAt = now;
    restartTimer(now);
    asked(now);
  }

  /** Starts to ask for binding votes; another candidate may split them, so it ends sooner. */
  void beginBinding(ReplicaId self, long now) {
    begin(self, now);
    deadline = now + timeoutMillis / 2 + random.nextInt(timeoutMillis / 2);
  }

  /** Returns whether the candidacy is so young that its first answers may be on their way. */
  boolean isFresh(long now) {
    return now - begunAt < 2 * timeoutMillis / ASKS_IN_TIMEOUT;
  }

  /** Returns whether it is time to ask again those who have not voted, and notes that. */
  boolean asksAgain(long now) {
    if (now < askAgainAt) {
      return false;
    }
    asked(now);
    return true;
  }

  private void asked(long now) {
    askAgainAt = now + timeoutMillis / ASKS_IN_TIMEOUT;
  }

  boolean hasVote(ReplicaId from) {
    return votes.contains(from);
  }

  void vote(ReplicaId from) {
    votes.add(from);
  }

  boolean won(ReplicaSet members) {
    return members.isQuorum(votes::contains);
  }
}
