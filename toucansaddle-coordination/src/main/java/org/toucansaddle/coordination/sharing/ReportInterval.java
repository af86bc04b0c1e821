package org.toucansaddle.coordination.sharing;

import java.util.concurrent.TimeUnit;

/**
 * How often routers report their work to the daemon that sums it, and get the sums.
 *
 * <p>That daemon bears a number of reports a second, whatever the number of routers: few routers
 * report more often, so that they decide on newer counts. Stateless.
 */
public final class ReportInterval {

  /** Interval of many routers. All daemons hear of each other at least this often. */
  public static final int MAX_MILLIS = 400;

  /** Interval of few routers. */
  public static final int MIN_MILLIS = 100;

  private static final int REPORTS_PER_SECOND = 80;

  private ReportInterval() {}

  /**
   * Returns the time between two reports of a router, in milliseconds.
   *
   * @param routers number of routers that report
   */
  public static int millis(int routers) {
    long even = TimeUnit.SECONDS.toMillis(1) * routers / REPORTS_PER_SECOND;
    return (int) Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, even));
  }

  /**
   * Returns the age of a count in a sum when the sum arrives, in the mean.
   *
   * @param routers number of routers that report
   */
  public static long meanAgeNanos(int routers) {
    return TimeUnit.MILLISECONDS.toNanos(millis(routers)) / 2;
  }
}
