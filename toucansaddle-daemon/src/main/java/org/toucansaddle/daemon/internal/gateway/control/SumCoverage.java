package org.toucansaddle.daemon.internal.gateway.control;

import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.sharing.ReportInterval;

/**
 * Decides whether the routers that report their counts to a control daemon are enough for sums.
 *
 * <p>Routers turn to another daemon one by one, within a report interval. A router takes the sums
 * that it gets for those of the whole fleet: from sums of a few routers it would conclude that the
 * upstreams are idle. It does better with older sums of all. Thread-safe.
 */
final class SumCoverage {

  /** The counts of one in so many routers may be missing, as of one that has just connected. */
  private static final int ROUTERS_PER_MISSING_ONE = 8;

  /**
   * Time after which the other routers are taken to stay with another daemon, which happens while
   * the fleet is partitioned: three report intervals.
   */
  private static final long MAX_WAIT_NANOS =
      TimeUnit.MILLISECONDS.toNanos(3 * ReportInterval.MAX_MILLIS);

  private boolean waiting;
  private long waitingSince;

  /**
   * Returns whether sums may be sent.
   *
   * @param reporting routers whose newest report has counts
   * @param routers connected routers
   * @param nowNanos time of a monotonic clock
   */
  synchronized boolean isSufficient(int reporting, int routers, long nowNanos) {
    int missing = routers - reporting;
    if (reporting == 0 || missing <= routers / ROUTERS_PER_MISSING_ONE) {
      waiting = false;
      return reporting > 0;
    }
    if (!waiting) {
      waiting = true;
      waitingSince = nowNanos;
    }
    return nowNanos - waitingSince >= MAX_WAIT_NANOS;
  }
}
