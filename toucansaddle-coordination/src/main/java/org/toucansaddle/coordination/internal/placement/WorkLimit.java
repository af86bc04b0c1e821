package org.toucansaddle.coordination.internal.placement;

import java.util.concurrent.TimeUnit;

/**
 * The load of a pool up to which every account is served, as a multiple of the rated throughput.
 *
 * <p>The rated throughput is a cautious guess. The limit grows while it binds and requests get
 * their first token early, and shrinks while many get it late or need much of their time: an
 * upstream that reads many prompts makes the tokens of long responses so slowly that they miss
 * their deadline. Confined to its placer's lock.
 */
final class WorkLimit {

  /** Part of the rated throughput up to which every account is always served. */
  private static final double MIN_LIMIT = 0.8;

  private static final double MAX_LIMIT = 2.5;

  /** Part of the target after which a first token counts as late. */
  private static final double LATE_TARGET_FRACTION = 0.6;

  private static final double SAMPLE_WEIGHT = 0.04;
  private static final double MANY_LATE = 0.15;
  private static final double FEW_LATE = 0.05;

  /** Part of its remaining time after which a request lasts long. */
  private static final double LONG_REMAINING_FRACTION = 0.4;

  private static final double MANY_LAST_LONG = 0.04;
  private static final double FEW_LAST_LONG = 0.01;
  private static final double GROWTH = 1.02;
  private static final double SHRINKAGE = 0.95;

  /** Part of the limit from which it binds. */
  private static final double BINDING_FRACTION = 0.9;

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private double limit = MIN_LIMIT;
  private double late;
  private double lastsLong;
  private long steppedAt;

  /** Records the time from the ask to the first token of a request. */
  void recordFirstToken(double millis, int targetMillis) {
    double sample = millis > LATE_TARGET_FRACTION * targetMillis ? 1 : 0;
    late += SAMPLE_WEIGHT * (sample - late);
  }

  /** Records how long a request held its slot, and how much time it had when it was granted. */
  void recordEnd(double holdMillis, long remainingMillis) {
    double sample = holdMillis > LONG_REMAINING_FRACTION * remainingMillis ? 1 : 0;
    lastsLong += SAMPLE_WEIGHT * (sample - lastsLong);
  }

  /**
   * Returns whether the load is below the limit.
   *
   * @param utilisation load as a multiple of the rated throughput
   */
  boolean hasRoom(double utilisation, long now) {
    if (now - steppedAt >= STEP_NANOS) {
      steppedAt = now;
      if (late > MANY_LATE || lastsLong > MANY_LAST_LONG) {
        limit = Math.max(MIN_LIMIT, limit * SHRINKAGE);
      } else if (late < FEW_LATE
          && lastsLong < FEW_LAST_LONG
          && utilisation > BINDING_FRACTION * limit) {
        limit = Math.min(MAX_LIMIT, limit * GROWTH);
      }
    }
    return utilisation < limit;
  }

  /** Returns the throughput to be shared, as a multiple of the rated one. */
  double sharedThroughput() {
    return limit / MIN_LIMIT;
  }
}
