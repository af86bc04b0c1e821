package org.toucansaddle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.sharing.ReportInterval;

/**
 * Decides in which message of a daemon everything is said, and in which only what is summed.
 *
 * <p>Everything is said every {@link ReportInterval#MAX_MILLIS}; sums between that as often as the
 * number of routers allows. Confined to one thread, which calls {@link #tick} every {@link
 * ReportInterval#MIN_MILLIS}.
 */
final class ReportSchedule {

  /** Ticks come somewhat early or late. */
  private static final long SLACK_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ReportInterval.MIN_MILLIS) / 2;

  private final LongSupplier clock;
  private final IntSupplier routers;
  private final Runnable everything;
  private final Runnable sums;
  private long everythingAt;
  private long sumsAt;

  /**
   * Creates a schedule that begins now.
   *
   * @param clock returns nanoseconds
   * @param routers number of routers
   * @param everything says everything
   * @param sums says only what is summed
   */
  ReportSchedule(LongSupplier clock, IntSupplier routers, Runnable everything, Runnable sums) {
    this.clock = clock;
    this.routers = routers;
    this.everything = everything;
    this.sums = sums;
    this.everythingAt = clock.getAsLong();
    this.sumsAt = everythingAt;
  }

  /** Says what is due. */
  void tick() {
    long now = clock.getAsLong();
    if (isDue(everythingAt, ReportInterval.MAX_MILLIS, now)) {
      everythingAt = now;
      sumsAt = now;
      everything.run();
    } else if (isDue(sumsAt, ReportInterval.millis(routers.getAsInt()), now)) {
      sumsAt = now;
      sums.run();
    }
  }

  private static boolean isDue(long last, int millis, long now) {
    return now - last >= TimeUnit.MILLISECONDS.toNanos(millis) - SLACK_NANOS;
  }
}
