package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.concurrent.TimeUnit;

/**
 * Tells from the order of an upstream's answers that it holds a request it will not answer.
 *
 * <p>Upstreams admit requests in order of arrival, so one that stays silent while requests sent
 * after it are answered is stuck. Thread-safe; does no I/O.
 */
public final class AnswerOrder {

  /** Time by which a request sent later may be answered first, for example a much shorter one. */
  private static final long OVERTAKING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** First pause after a request was stuck, as long as callers of a stream wait at least. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int MAX_DOUBLINGS = 2;

  /** Time without a stuck request after which the next pause is a first one again. */
  private static final long FORGIVEN_NANOS = TimeUnit.SECONDS.toNanos(20);

  private boolean hasAnswered;
  private long newestAnswered;
  private long lastAnswerAt;
  private boolean wasStuck;
  private long stuckAt;
  private long pausedUntil;
  private int doublings;

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
  }

  /**
   * Returns whether a request that is still unanswered will probably stay so: others sent after it
   * were answered, or it waits twice its target and nothing was answered since it was sent.
   *
   * @param sentAt when the request was sent, in nanoseconds
   * @param targetNanos time in which operators aim to answer it
   */
  public synchronized boolean isStuck(long sentAt, long targetNanos, long now) {
    long silent = now - sentAt;
    if (silent < targetNanos) {
      return false;
    }
    boolean overtaken = hasAnswered && newestAnswered - sentAt > OVERTAKING_NANOS;
    boolean allSilent = !hasAnswered || lastAnswerAt - sentAt < 0;
    return overtaken || (allSilent && silent >= 2 * targetNanos);
  }

  /**
   * Notes that a request is stuck, and pauses the upstream.
   *
   * @return whether this starts a pause; requests found stuck during one do not lengthen it
   */
  public synchronized boolean stuck(long now) {
    if (isPaused(now)) {
      return false;
    }
    boolean again = wasStuck && now - stuckAt < FORGIVEN_NANOS;
    doublings = again ? Math.min(doublings + 1, MAX_DOUBLINGS) : 0;
    wasStuck = true;
    stuckAt = now;
    pausedUntil = now + (FIRST_PAUSE_NANOS << doublings);
    return true;
  }

  /** Returns whether requests should go elsewhere, if others can take them. */
  public synchronized boolean isPaused(long now) {
    return wasStuck && now - pausedUntil < 0;
  }
}
