package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.concurrent.TimeUnit;

/**
 * Tells from the order of an upstream's answers that it hangs with requests.
 *
 * <p>Upstreams admit requests in order of arrival, so one that stays silent while requests sent
 * after it are answered is stuck: the upstream is paused, and on probation after that. One that
 * answers nothing may hang or have much to do: it is put on probation at once. Thread-safe; does no
 * I/O.
 */
public final class AnswerOrder {

  /** Time by which a request sent later may be answered first, for example a much shorter one. */
  private static final long OVERTAKING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** First pause after a request was stuck, as long as callers of a stream wait at least. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int MAX_DOUBLINGS = 2;

  /** Answers after a pause that show that an upstream which hung with part of them is well. */
  private static final int ANSWERS_OF_PROBATION = 8;

  /** Longest probation, if few requests may be tried. */
  private static final long PROBATION_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time without a stuck request after which the next pause is a first one again. */
  private static final long FORGIVEN_NANOS = TimeUnit.SECONDS.toNanos(20);

  private boolean hasAnswered;
  private long newestAnswered;
  private long lastAnswerAt;
  private boolean isTried;
  private boolean wasStuck;
  private long stuckAt;
  private long pausedUntil;
  private int doublings;
  private int answersSincePause;

  /**
   * Notes that the answer to a request begins.
   *
   * @param sentAt when the request was sent, in nanoseconds
   * @param now the same clock
   */
  public synchronized void answered(long sentAt, long now) {
    newestAnswered = hasAnswered ? Math.max(newestAnswered, sentAt) : sentAt;
    lastAnswerAt = now;
    hasAnswered = true;
    if (isTried && sentAt - pausedUntil >= 0) {
      answersSincePause++;
    }
  }

  /** What the silence of a request says of its upstream. */
  public enum Finding {
    /** Nothing. */
    NONE,
    /** It answered nothing since the request was sent. */
    ALL_SILENT,
    /** It answered requests that were sent later. */
    OVERTAKEN
  }

  /**
   * Judges a request that is still unanswered.
   *
   * @param sentAt when the request was sent, in nanoseconds
   * @param dueNanos time in which it should have been answered, if others were
   * @param targetNanos time in which operators aim to answer it
   */
  public synchronized Finding judge(long sentAt, long dueNanos, long targetNanos, long now) {
    long silent = now - sentAt;
    if (hasAnswered && newestAnswered - sentAt > OVERTAKING_NANOS) {
      return silent >= dueNanos ? Finding.OVERTAKEN : Finding.NONE;
    }
    boolean allSilent = !hasAnswered || lastAnswerAt - sentAt < 0;
    boolean overdue = silent >= Math.max(2 * dueNanos, targetNanos);
    return allSilent && overdue ? Finding.ALL_SILENT : Finding.NONE;
  }

  /**
   * Acts on a finding.
   *
   * @return whether anything changed; requests found stuck during a pause do not lengthen it
   */
  public synchronized boolean found(Finding finding, long now) {
    if (isPaused(now) || finding == Finding.NONE) {
      return false;
    }
    if (finding == Finding.ALL_SILENT) {
      return doubt(now);
    }
    boolean again = wasStuck && now - stuckAt < FORGIVEN_NANOS;
    doublings = again ? Math.min(doublings + 1, MAX_DOUBLINGS) : 0;
    wasStuck = true;
    stuckAt = now;
    startProbation(now + (FIRST_PAUSE_NANOS << doublings));
    return true;
  }

  private boolean doubt(long now) {
    if (isOnProbation(now)) {
      return false;
    }
    startProbation(now);
    return true;
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
