package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.concurrent.TimeUnit;

/**
 * Pause that an upstream asked of this router, and the steps in which requests come back after it.
 *
 * <p>For a second after the pause the requests under way at the upstream are bounded by a number
 * that grows. A pause is never shortened, but its length is bounded, so that a single value cannot
 * take an upstream away for hours. Thread-safe; does no I/O.
 */
public final class RequestedPause {

  static final long MAX_MILLIS = 60_000;

  /** Time after the pause in which requests come back in steps. */
  private static final long STEPS_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Requests that may be under way more, for each second after the pause. */
  public static final int STEPS_PER_SECOND = 10;

  private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(1) / STEPS_PER_SECOND;

  private volatile boolean everAsked;
  private volatile long untilNanos;

  RequestedPause() {}

  /**
   * Begins a pause, or extends the one that has begun.
   *
   * @return whether it now ends later than before
   */
  synchronized boolean begin(long millis, long nowNanos) {
    long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(MAX_MILLIS, millis));
    if (millis <= 0 || (everAsked && end - untilNanos <= 0)) {
      return false;
    }
    untilNanos = end;
    everAsked = true;
    return true;
  }

  /** Returns whether the upstream wants no requests now. */
  public boolean isActive(long nowNanos) {
    return everAsked && nowNanos - untilNanos < 0;
  }

  /** Returns whether there is a pause, or requests still come back in steps. */
  public boolean isInEffect(long nowNanos) {
    return everAsked && nowNanos - untilNanos < STEPS_NANOS;
  }

  /**
   * Returns whether a request may be sent now.
   *
   * @param underWay requests of this router under way at the upstream
   */
  public boolean permits(long nowNanos, int underWay) {
    if (!everAsked) {
      return true;
    }
    long sinceEnd = nowNanos - untilNanos;
    return sinceEnd >= STEPS_NANOS || (sinceEnd >= 0 && underWay <= sinceEnd / STEP_NANOS);
  }

  /** Returns the time until the pause ends, in milliseconds; 0 if there is none. */
  public long remainingMillis(long nowNanos) {
    return isActive(nowNanos) ? 1 + TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos) : 0;
  }
}
