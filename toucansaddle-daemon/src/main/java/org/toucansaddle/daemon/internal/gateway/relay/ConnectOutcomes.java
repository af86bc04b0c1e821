package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.TimeUnit;

/**
 * Recent outcomes of opening connections to upstreams.
 *
 * <p>One upstream that does not answer may have lost its VM. If most of them do not, the fault is
 * more likely at this router or its link. Thread-safe; does no I/O.
 */
public final class ConnectOutcomes {

  /** Time in which an outcome's weight decays to 1/e. */
  private static final double DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Weight of timeouts from which they count; fewer show nothing. */
  private static final double MIN_TIMEOUTS = 4;

  private double opened;
  private double timedOut;
  private long updatedAt;

  /** Records a connection that was opened or refused by the upstream's VM. */
  synchronized void recordAnswered(long now) {
    decay(now);
    opened++;
  }

  /** Records a connection whose opening timed out. */
  synchronized void recordTimeout(long now) {
    decay(now);
    timedOut++;
  }

  /**
   * Returns whether most connections that were opened lately timed out.
   *
   * @param now current time, in nanoseconds
   */
  public synchronized boolean mostlyTimeOut(long now) {
    decay(now);
    return timedOut >= MIN_TIMEOUTS && timedOut > opened;
  }

  private void decay(long now) {
    double factor = Math.exp(-(now - updatedAt) / DECAY_NANOS);
    opened *= factor;
    timedOut *= factor;
    updatedAt = now;
  }
}
