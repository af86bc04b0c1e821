package org.toucansaddle.daemon.internal.request;

import org.toucansaddle.daemon.internal.request.SlotHoldTimes.HoldTimeStats;

/** How long a request will wait for its start. Stateless and thread-safe. */
final class QueueWaitEstimator {

  private static final double STANDARD_DEVIATIONS_FOR_95_PERCENT = 1.645;

  private QueueWaitEstimator() {}

  /**
   * Returns within how many milliseconds a request starts in 95 of 100 cases.
   *
   * <p>With {@code slots} in use one request starts each {@code mean / slots} milliseconds; the
   * starts before it add up, and so do their variances.
   *
   * @param waiting requests that start before it
   * @param slots mean number of slots that its account uses while requests wait
   */
  static double percentile95Millis(int waiting, double slots, HoldTimeStats holding) {
    if (waiting == 0) {
      return 0;
    }
    int starts = waiting + 1;
    double mean = starts * holding.meanMillis();
    double deviation = holding.standardDeviationOfSumMillis(starts);
    return (mean + STANDARD_DEVIATIONS_FOR_95_PERCENT * deviation) / slots;
  }
}
