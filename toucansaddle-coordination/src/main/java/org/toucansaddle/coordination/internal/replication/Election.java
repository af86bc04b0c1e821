package org.toucansaddle.coordination.internal.replication;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;

/**
 * Election timer and the votes received in one candidacy. Times are monotonic milliseconds. Not
 * thread-safe.
 */
final class Election {

  /**
   * Number of times per timeout that a candidate sends its vote requests. Replicas that started
   * later than the candidate do not answer until their own timeout has passed; without resending,
   * the whole candidacy would be lost.
   */
  private static final int VOTE_REQUESTS_PER_TIMEOUT = 6;

  private final int timeoutMillis;
  private final SplittableRandom random;
  private final Set<ReplicaId> votes = new HashSet<>();
  private long deadlineMillis;
  private long nextResendAtMillis;
  private long startedAtMillis;
  private long leaderContactAtMillis;

  Election(int timeoutMillis, SplittableRandom random, long nowMillis) {
    this.timeoutMillis = timeoutMillis;
    this.random = random;
    recordLeaderContact(nowMillis);
  }

  /**
   * Records contact from the leader. Also called at start, because a restart loses the time of the
   * last contact.
   */
  void recordLeaderContact(long nowMillis) {
    leaderContactAtMillis = nowMillis;
    restartTimer(nowMillis);
  }

  /** Draws a new random deadline. */
  void restartTimer(long nowMillis) {
    deadlineMillis = nowMillis + timeoutMillis + random.nextInt(timeoutMillis);
  }

  /** Returns whether a leader may still hold its lease, so that no vote may be granted. */
  boolean leaderMayHoldLease(long nowMillis) {
    return nowMillis - leaderContactAtMillis < timeoutMillis;
  }

  boolean hasTimedOut(long nowMillis) {
    return nowMillis >= deadlineMillis;
  }

  /** Starts a candidacy with the candidate's vote for itself. */
  void startCandidacy(ReplicaId self, long nowMillis) {
    votes.clear();
    votes.add(self);
    startedAtMillis = nowMillis;
    restartTimer(nowMillis);
    scheduleResend(nowMillis);
  }

  /** Starts the binding vote; its timeout is halved, as another candidate may split the votes. */
  void startBindingCandidacy(ReplicaId self, long nowMillis) {
    startCandidacy(self, nowMillis);
    deadlineMillis = nowMillis + timeoutMillis / 2 + random.nextInt(timeoutMillis / 2);
  }

  /** Returns whether the first responses of this candidacy may still be in flight. */
  boolean mayAwaitFirstResponses(long nowMillis) {
    return nowMillis - startedAtMillis < 2 * timeoutMillis / VOTE_REQUESTS_PER_TIMEOUT;
  }

  /** Returns whether to resend the vote requests now; if so, schedules the next resend. */
  boolean pollResendDue(long nowMillis) {
    if (nowMillis < nextResendAtMillis) {
      return false;
    }
    scheduleResend(nowMillis);
    return true;
  }

  private void scheduleResend(long nowMillis) {
    nextResendAtMillis = nowMillis + timeoutMillis / VOTE_REQUESTS_PER_TIMEOUT;
  }

  boolean hasVoteFrom(ReplicaId voter) {
    return votes.contains(voter);
  }

  void recordVote(ReplicaId voter) {
    votes.add(voter);
  }

  boolean hasWon(ReplicaSet members) {
    return members.isQuorum(votes::contains);
  }
}
