package org.toucansaddle.daemon.internal.gateway.relay;

/**
 * Learns whether requests of one route are usually answered within its target, so that silence says
 * something of the upstream and not of the work asked for.
 *
 * <p>Thread-safe; a lost update costs one sample.
 */
final class OnTimeRate {

  /** Weight of one sample. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** Part answered in time from which a late answer is an exception. */
  private static final double MOSTLY_ON_TIME_RATE = 0.6;

  private volatile double rate;

  /** Takes a sample: a request that was answered in time, or is overdue. */
  void addSample(boolean answeredInTime) {
    double before = rate;
    rate = before + SAMPLE_WEIGHT * ((answeredInTime ? 1 : 0) - before);
  }

  /** Returns whether most requests lately were answered in time; false until enough were seen. */
  boolean isMostlyOnTime() {
    return rate >= MOSTLY_ON_TIME_RATE;
  }
}
