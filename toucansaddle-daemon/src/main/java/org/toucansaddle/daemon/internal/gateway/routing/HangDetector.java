package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.concurrent.TimeUnit;

/**
 * Detects from the order of its answers that an upstream hangs.
 *
 * <p>Upstreams admit requests in order of arrival, so a request without an answer is stuck if
 * requests that were sent after it are answered. An upstream that answers nothing for a long time
 * may just be busy. Either finding puts the upstream on probation. If a large part of the requests
 * is stuck, at this router or over all routers, the upstream is paused first. Thread-safe; does no
 * I/O.
 */
public final class HangDetector {

  /** Lead that a request sent later may have, for example because it is much shorter. */
  private static final long OVERTAKING_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time in which the request counts decay to 1/e. */
  private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Stuck requests from which their ratio is significant: two, one of them partly decayed. */
  private static final double MIN_STUCK_REQUESTS = 1.5;

  /** Ratio of stuck requests that pauses an upstream; lost answers amount to a few percent. */
  private static final double MIN_STUCK_RATIO = 0.2;

  /** First pause, equal to the shortest time that callers wait for a stream. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int MAX_PAUSE_DOUBLINGS = 2;

  /** Answers that end a probation: enough to show that a partial hang is over. */
  private static final int MIN_PROBATION_ANSWERS = 8;

  /** Longest probation; it applies if too few requests may be sent to the upstream. */
  private static final long MAX_PROBATION_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time after the start of a pause from which the next pause has the first length again. */
  private static final long PAUSE_RESET_NANOS = TimeUnit.SECONDS.toNanos(20);

  private boolean hasAnswered;
  private long latestAnsweredSentAt;
  private long lastAnswerAt;
  private double localStuck;
  private double localAnswered;
  private long decayedAt;
  private double remoteStuck;
  private double remoteAnswered;
  private boolean wasPaused;
  private long pauseStartedAt;
  private int pauseDoublings;
  private boolean hasProbation;
  private long probationStartsAt;
  private int probationAnswers;

  /** What an unanswered request shows about its upstream. */
  public enum Finding {
    /** No sign of a hang. */
    NONE,
    /** The upstream answered nothing since the request was sent. */
    ALL_SILENT,
    /** The upstream answered requests that were sent later. */
    OVERTAKEN
  }

  /** Recent requests that were stuck or answered, with exponential decay. Immutable. */
  public record RequestCounts(double stuck, double answered) {}

  /**
   * Records that the answer to a request begins.
   *
   * @param sentAt when the request was sent, in nanoseconds
   * @param now current time on the same clock
   */
  public synchronized void recordAnswer(long sentAt, long now) {
    latestAnsweredSentAt = hasAnswered ? Math.max(latestAnsweredSentAt, sentAt) : sentAt;
    lastAnswerAt = now;
    hasAnswered = true;
    decay(now);
    localAnswered++;
    if (hasProbation && sentAt - probationStartsAt >= 0) {
      probationAnswers++;
    }
  }

  private void decay(long now) {
    double factor = Math.exp(-(now - decayedAt) / DECAY_NANOS);
    localStuck *= factor;
    localAnswered *= factor;
    remoteStuck *= factor;
    remoteAnswered *= factor;
    decayedAt = now;
  }

  /** Returns the counts of this router's recent requests. */
  public synchronized RequestCounts localCounts(long now) {
    decay(now);
    return new RequestCounts(localStuck, localAnswered);
  }

  /** Replaces the counts of the other routers' requests; returns whether a pause begins. */
  public synchronized boolean updateRemoteCounts(RequestCounts remoteCounts, long now) {
    decay(now);
    remoteStuck = remoteCounts.stuck();
    remoteAnswered = remoteCounts.answered();
    return pauseIfHanging(now);
  }

  /**
   * Evaluates a request that is not answered yet.
   *
   * @param sentAt when the request was sent, in nanoseconds
   * @param dueNanos time within which an answer is due if later requests are answered
   * @param targetNanos target time to the answer, as set by the operators
   * @param now current time on the same clock
   */
  public synchronized Finding evaluate(long sentAt, long dueNanos, long targetNanos, long now) {
    long silenceNanos = now - sentAt;
    if (hasAnswered && latestAnsweredSentAt - sentAt > OVERTAKING_TOLERANCE_NANOS) {
      return silenceNanos >= dueNanos ? Finding.OVERTAKEN : Finding.NONE;
    }
    boolean allSilent = !hasAnswered || lastAnswerAt - sentAt < 0;
    boolean overdue = silenceNanos >= Math.max(2 * dueNanos, targetNanos);
    return allSilent && overdue ? Finding.ALL_SILENT : Finding.NONE;
  }

  /**
   * Records the finding about a request; called at most once for each request.
   *
   * @return whether a pause or a probation begins
   */
  public synchronized boolean recordFinding(Finding finding, long now) {
    if (finding == Finding.NONE) {
      return false;
    }
    decay(now);
    localStuck++;
    if (isPaused(now)) {
      return false;
    }
    boolean begins = !isOnProbation(now);
    startProbation(now);
    return pauseIfHanging(now) || begins;
  }

  private boolean pauseIfHanging(long now) {
    boolean hangsForAll = isHanging(localStuck + remoteStuck, localAnswered + remoteAnswered);
    if (isPaused(now) || !(hangsForAll || isHanging(localStuck, localAnswered))) {
      return false;
    }
    boolean isRepeated = wasPaused && now - pauseStartedAt < PAUSE_RESET_NANOS;
    pauseDoublings = isRepeated ? Math.min(pauseDoublings + 1, MAX_PAUSE_DOUBLINGS) : 0;
    wasPaused = true;
    pauseStartedAt = now;
    startProbation(now + (FIRST_PAUSE_NANOS << pauseDoublings));
    return true;
  }

  private static boolean isHanging(double stuckRequests, double answeredRequests) {
    return stuckRequests >= MIN_STUCK_REQUESTS
        && stuckRequests >= MIN_STUCK_RATIO * (stuckRequests + answeredRequests);
  }

  private void startProbation(long startsAt) {
    hasProbation = true;
    probationStartsAt = startsAt;
    probationAnswers = 0;
  }

  /** Returns whether requests should be sent to other upstreams if those have capacity. */
  public synchronized boolean isPaused(long now) {
    return hasProbation && now - probationStartsAt < 0;
  }

  /** Returns whether only repeatable requests should be sent to the upstream. */
  public synchronized boolean isOnProbation(long now) {
    return hasProbation
        && now - probationStartsAt >= 0
        && now - probationStartsAt < MAX_PROBATION_NANOS
        && probationAnswers < MIN_PROBATION_ANSWERS;
  }
}
