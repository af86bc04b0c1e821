package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.TimeUnit;

/**
 * Average lag of the I/O threads of a router: how late they run a task that is due.
 *
 * <p>A request waits about as long before it is read. The average decays over time, so that one
 * pause, for example of the garbage collector, has little weight. Thread-safe; does no I/O.
 */
public final class IoLag {

  /** Time in which the weight of a sample decays to 1/e. */
  private static final double DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private double averageNanos;
  private long maxNanos;
  private long lastSampleAt;
  private boolean sampled;

  /**
   * Adds a sample.
   *
   * @param lagNanos time by which a task ran late, in nanoseconds
   * @param now current time, in nanoseconds
   */
  public synchronized void addSample(long lagNanos, long now) {
    double weight = sampled ? 1 - Math.exp(-(now - lastSampleAt) / DECAY_NANOS) : 1;
    averageNanos += weight * (lagNanos - averageNanos);
    maxNanos = Math.max(maxNanos, lagNanos);
    lastSampleAt = now;
    sampled = true;
  }

  /** Returns the average lag, in milliseconds. */
  public synchronized double averageMillis() {
    return averageNanos / TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Returns the largest lag since the last call, in milliseconds. */
  public synchronized double drainMaxMillis() {
    double max = maxNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
    maxNanos = 0;
    return max;
  }
}
