package org.toucansaddle.coordination.sharing;

import java.util.Arrays;

/**
 * Max-min fair share of a capacity.
 *
 * <pre>{@code
 * double share = MaxMinShare.compute(new double[] {10, 50, 90}, 90); // 40
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class MaxMinShare {

  private MaxMinShare() {}

  /**
   * Returns the share at which the sum over all demands of the smaller of it and the demand is the
   * capacity. It is {@link Double#MAX_VALUE} if the capacity exceeds the sum of the demands.
   */
  public static double compute(double[] demands, double capacity) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double remaining = capacity;
    for (int i = 0; i < sorted.length; i++) {
      double equalShare = remaining / (sorted.length - i);
      if (sorted[i] >= equalShare) {
        return equalShare;
      }
      remaining -= sorted[i];
    }
    return Double.MAX_VALUE;
  }
}
