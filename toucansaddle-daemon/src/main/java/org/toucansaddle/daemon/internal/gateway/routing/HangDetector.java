package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.concurrent.TimeUnit;

/**
 * Tells from the order of an upstream's answers that it hangs with requests.
 *
 * <p>Upstreams admit requests in order of arrival, so one that stays silent while requests sent
 * after it are answered is stuck; one that answers nothing for long may have much to do. Either
 * puts the upstream on probation. One with which a good part of the requests is stuck, here or at
 * all routers, is paused first. Thread-safe; does no I/O.
 */
public final class HangDetector {

  /** Time by which a request sent later may be answered first, for example a much shorter one. */
  private static final long OVERTAKING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time after which an answer counts a third. */
  private static final double MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Stuck requests, one of them faded, from which a part says something. */
  private static final double LEAST_STUCK = 1.5;

  /** Part of the requests; answers lost on their way are a few in a hundred. */
  private static final double PART_STUCK = 0.2;

  /** First pause, as long as callers of a stream wait at least. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int MAX_DOUBLINGS = 2;

  /** Answers after a pause that show that an upstream which hung with part of them is well. */
  private static final int ANSWERS_OF_PROBATION = 8;

  /** Longest probation, if few requests may be tried. */
  private static final long PROBATION_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time without a pause after which the next one is a first one again. */
  private static final long FORGIVEN_NANOS = TimeUnit.SECONDS.toNanos(20);

  private boolean hasAnswered;
  private long newestAnswered;
  private long lastAnswerAt;
  private double stuck;
  private double answered;
  private long countedAt;
  private double othersStuck;
  private double othersAnswered;
  private boolean wasPaused;
  private long pauseBegan;
  private int doublings;
  private boolean isTried;
  private long pausedUntil;
  private int answersSincePause;

  /** What the silence of a request says of its upstream. */
  public enum Finding {
    /** Nothing. */
    NONE,
    /** It answered nothing since the request was sent. */
    ALL_SILENT,
    /** It answered requests that were sent later. */
    OVERTAKEN
  }

  /** How requests went lately. Immutable. */
  public record RequestCounts(double stuck, double answered) {}

  /**
   * Notes that the answer to a request begins.
   *
   * @param sentAt when the request was sent, in nanoseconds
   * @param now the same clock
   */
  public synchronized void recordAnswer(long sentAt, long now) {
    newestAnswered = hasAnswered ? Math.max(newestAnswered, sentAt) : sentAt;
    lastAnswerAt = now;
    hasAnswered = true;
    fade(now);
    answered++;
    if (isTried && sentAt - pausedUntil >= 0) {
      answersSincePause++;
    }
  }

  private void fade(long now) {
    double kept = Math.exp(-(now - countedAt) / MEMORY_NANOS);
    stuck *= kept;
    answered *= kept;
    othersStuck *= kept;
    othersAnswered *= kept;
    countedAt = now;
  }

  /** Returns how this router's requests went lately. */
  public synchronized RequestCounts localCounts(long now) {
    fade(now);
    return new RequestCounts(stuck, answered);
  }

  /** Takes how the other routers' requests went lately; returns whether a pause begins. */
  public synchronized boolean updateRemoteCounts(RequestCounts others, long now) {
    fade(now);
    othersStuck = others.stuck();
    othersAnswered = others.answered();
    return pauseIfSick(now);
  }

  /**
   * Judges a request that is still unanswered.
   *
   * @param sentAt when the request was sent, in nanoseconds
   * @param dueNanos time in which it should have been answered, if others were
   * @param targetNanos time in which operators aim to answer it
   */
  public synchronized Finding evaluate(long sentAt, long dueNanos, long targetNanos, long now) {
    long silent = now - sentAt;
    if (hasAnswered && newestAnswered - sentAt > OVERTAKING_NANOS) {
      return silent >= dueNanos ? Finding.OVERTAKEN : Finding.NONE;
    }
    boolean allSilent = !hasAnswered || lastAnswerAt - sentAt < 0;
    boolean overdue = silent >= Math.max(2 * dueNanos, targetNanos);
    return allSilent && overdue ? Finding.ALL_SILENT : Finding.NONE;
  }

  /**
   * Takes a finding, once for each request.
   *
   * @return whether a pause or probation begins
   */
  public synchronized boolean recordFinding(Finding finding, long now) {
    if (finding == Finding.NONE) {
      return false;
    }
    fade(now);
    stuck++;
    if (isPaused(now)) {
      return false;
    }
    boolean begins = !isOnProbation(now);
    startProbation(now);
    return pauseIfSick(now) || begins;
  }

  private boolean pauseIfSick(long now) {
    boolean sickForAll = isSick(stuck + othersStuck, answered + othersAnswered);
    if (isPaused(now) || !(sickForAll || isSick(stuck, answered))) {
      return false;
    }
    boolean again = wasPaused && now - pauseBegan < FORGIVEN_NANOS;
    doublings = again ? Math.min(doublings + 1, MAX_DOUBLINGS) : 0;
    wasPaused = true;
    pauseBegan = now;
    startProbation(now + (FIRST_PAUSE_NANOS << doublings));
    return true;
  }

  private static boolean isSick(double stuckRequests, double answeredRequests) {
    return stuckRequests >= LEAST_STUCK
        && stuckRequests >= PART_STUCK * (stuckRequests + answeredRequests);
  }

  private void startProbation(long at) {
    isTried = true;
    pausedUntil = at;
    answersSincePause = 0;
  }

  /** Returns whether requests should go elsewhere, if others can take them. */
  public synchronized boolean isPaused(long now) {
    return isTried && now - pausedUntil < 0;
  }

  /** Returns whether only requests that may be repeated should be tried. */
  public synchronized boolean isOnProbation(long now) {
    return isTried
        && now - pausedUntil >= 0
        && now - pausedUntil < PROBATION_NANOS
        && answersSincePause < ANSWERS_OF_PROBATION;
  }
}
