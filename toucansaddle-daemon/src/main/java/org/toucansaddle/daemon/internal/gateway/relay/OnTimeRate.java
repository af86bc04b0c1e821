package org.toucansaddle.daemon.internal.gateway.relay;

/**
 * Tracks the fraction of requests of one route that are answered within its target. If most are, a
 * late response points to a fault of the upstream and not to slow work.
 *
 * <p>Thread-safe; a lost concurrent update costs one sample.
 */
final class OnTimeRate {

  /** Weight of one sample in the moving average. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** Rate from which a late response is an exception. */
  private static final double MOSTLY_ON_TIME_RATE = 0.6;

  private volatile double rate;

  /** Adds a sample: a request that was answered in time, or is overdue. */
  void addSample(boolean answeredInTime) {
    double previous = rate;
    rate = previous + SAMPLE_WEIGHT * ((answeredInTime ? 1 : 0) - previous);
  }

  /** Returns whether most recent requests were answered in time; false until enough samples. */
  boolean isMostlyOnTime() {
    return rate >= MOSTLY_ON_TIME_RATE;
  }
}
