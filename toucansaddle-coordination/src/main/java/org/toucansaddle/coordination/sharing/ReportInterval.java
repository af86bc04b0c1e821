package org.toucansaddle.coordination.sharing;

import java.util.concurrent.TimeUnit;

/**
 * How often routers report their work to the daemon that sums it, and get the sums.
 *
 * <p>That daemon bears a number of reports a second, whatever the number of routers: few routers
 * report more often, so that they decide on newer counts. Stateless.
 */
public final class ReportInterval {

  /** Interval of many routers, and longest time between two messages of any daemon. */
  public static final int MAX_MILLIS = 400;

  /** Interval of few routers. */
  public static final int MIN_MILLIS = 100;

  /** Reports a second up to which the interval is shorter than that of many routers. */
  private static final int MAX_REPORTS_PER_SECOND = 120;

  private ReportInterval() {}

  /**
   * Returns the time between two reports of a router, in milliseconds. It divides the interval of
   * many routers, since every report that says everything is one of them.
   *
   * @param routers number of routers that report
   */
  public static int millis(int routers) {
    int millis = MIN_MILLIS;
    while (millis < MAX_MILLIS && isTooOften(routers, millis)) {
      millis *= 2;
    }
    return millis;
  }

  private static boolean isTooOften(long routers, int millis) {
    return routers * TimeUnit.SECONDS.toMillis(1) > MAX_REPORTS_PER_SECOND * (long) millis;
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
