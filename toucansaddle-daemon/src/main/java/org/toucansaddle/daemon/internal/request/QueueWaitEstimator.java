package org.toucansaddle.daemon.internal.request;

import org.toucansaddle.daemon.internal.request.SlotHoldTimes.HoldTimeStats;

/** Estimates how long a request waits in the queue for a slot. Stateless and thread-safe. */
final class QueueWaitEstimator {

  private static final double Z_SCORE_OF_95TH_PERCENTILE = 1.645;

  private QueueWaitEstimator() {}

  /**
   * Returns the 95th percentile of the time until a request starts, in milliseconds; 0 if no other
   * request waits.
   *
   * <p>With {@code meanSlots} in use, one request starts every {@code mean / meanSlots}
   * milliseconds on average. The wait is the sum of these intervals, so their means and variances
   * add up.
   *
   * @param waiting number of requests that start before this one
   * @param meanSlots mean number of slots that the account uses while its requests wait; positive
   * @param holdTimeStats how long requests of the work class hold a slot
   */
  static double percentile95Millis(int waiting, double meanSlots, HoldTimeStats holdTimeStats) {
    if (waiting == 0) {
      return 0;
    }
    int starts = waiting + 1;
    double meanMillis = starts * holdTimeStats.meanMillis();
    double standardDeviationMillis = holdTimeStats.standardDeviationOfSumMillis(starts);
    return (meanMillis + Z_SCORE_OF_95TH_PERCENTILE * standardDeviationMillis) / meanSlots;
  }
}
