package org.toucansaddle.coordination.admission;

/**
 * How late a router reads requests, held against what its callers wait for. Immutable.
 *
 * @param millis average lag of its I/O threads, in milliseconds
 * @param shortestTargetMillis shortest target of all routes, in milliseconds
 */
public record ReadLag(double millis, int shortestTargetMillis) {

  /** Fraction of the shortest target that may pass before a request is read. */
  private static final double MAX_TARGET_FRACTION = 0.3;

  /** Lag that is borne whatever the targets: pauses of the runtime are as long. */
  private static final double MIN_LIMIT_MILLIS = 60;

  private static final double MAX_LIMIT_MILLIS = 250;

  /** Fraction of the limit below which a router has caught up. */
  private static final double CAUGHT_UP_FRACTION = 0.4;

  /** Returns the lag from which a router is behind, in milliseconds. */
  public double limitMillis() {
    double fromTarget = MAX_TARGET_FRACTION * shortestTargetMillis;
    return Math.max(MIN_LIMIT_MILLIS, Math.min(MAX_LIMIT_MILLIS, fromTarget));
  }

  /** Returns whether the router is behind. */
  public boolean isBehind() {
    return millis >= limitMillis();
  }

  /** Returns whether a router that was behind no longer is. */
  public boolean hasCaughtUp() {
    return millis < CAUGHT_UP_FRACTION * limitMillis();
  }
}
