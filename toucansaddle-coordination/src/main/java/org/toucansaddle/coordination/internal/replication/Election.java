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
  private static final int VOTE_REQUESTS_PER_TIMEOUT = 6;

  private final int timeoutMillis;
  private final SplittableRandom random;
  private final Set<ReplicaId> votes = new HashSet<>();
  private long deadlineMillis;
  private long nextResendAtMillis;
  private long startedAtMillis;
  private long leaderContactAtMillis;

  Election(int timeoutMillis, SplittableRandom random, long now) {
    this.timeoutMillis = timeoutMillis;
    this.random = random;
    recordLeaderContact(now);
  }

  /**
   * Records a sign of life of the leader; also called at start, since an earlier one may be lost.
   */
  void recordLeaderContact(long now) {
    leaderContactAtMillis = now;
    restartTimer(now);
  }

  /** Draws a new deadline. */
  void restartTimer(long now) {
    deadlineMillis = now + timeoutMillis + random.nextInt(timeoutMillis);
  }

  /** Returns whether a leader may still hold its lease, so that no vote may be given. */
  boolean leaderMayHoldLease(long now) {
    return now - leaderContactAtMillis < timeoutMillis;
  }

  boolean hasTimedOut(long now) {
    return now >= deadlineMillis;
  }

  /** Starts a candidacy with the candidate's own vote. */
  void startCandidacy(ReplicaId self, long now) {
    votes.clear();
    votes.add(self);
    startedAtMillis = now;
    restartTimer(now);
    scheduleResend(now);
  }

  /** Starts to ask for binding votes; another candidate may split them, so it ends sooner. */
  void startBindingCandidacy(ReplicaId self, long now) {
    startCandidacy(self, now);
    deadlineMillis = now + timeoutMillis / 2 + random.nextInt(timeoutMillis / 2);
  }

  /** Returns whether the candidacy is so young that its first answers may be on their way. */
  boolean mayAwaitFirstResponses(long now) {
    return now - startedAtMillis < 2 * timeoutMillis / VOTE_REQUESTS_PER_TIMEOUT;
  }

  /** Returns whether it is time to ask again those who have not voted, and notes that. */
  boolean pollResendDue(long now) {
    if (now < nextResendAtMillis) {
      return false;
    }
    scheduleResend(now);
    return true;
  }

  private void scheduleResend(long now) {
    nextResendAtMillis = now + timeoutMillis / VOTE_REQUESTS_PER_TIMEOUT;
  }

  boolean hasVoteFrom(ReplicaId from) {
    return votes.contains(from);
  }

  void recordVote(ReplicaId from) {
    votes.add(from);
  }

  boolean hasWon(ReplicaSet members) {
    return members.isQuorum(votes::contains);
  }
}
