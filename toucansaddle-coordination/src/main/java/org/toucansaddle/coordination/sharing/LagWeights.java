package org.toucansaddle.coordination.sharing;

import java.util.function.IntToDoubleFunction;

/**
 * Turns an account's lag in service into its weight in the plan.
 *
 * <p>The weight is chosen so that the lag is made up within the horizon. Immutable.
 *
 * @param slots slots of the pool
 * @param accounts number of backlogged accounts
 * @param tokensPerSlotSecond measured speed of a slot, in tokens a second
 * @param horizonSeconds time in which a lag is made up, in seconds
 */
public record LagWeights(
    int slots, int accounts, double tokensPerSlotSecond, double catchUpSeconds) {

  private static final double MIN_WEIGHT = 0.1;
  private static final double MAX_WEIGHT = 4;

  /** Returns the weight of an account by its lag in tokens. */
  public IntToDoubleFunction computeWeights(IntToDoubleFunction lagTokens) {
    double evenShare = (double) slots / Math.max(1, accounts);
    double tokensPerShare = Math.max(1, evenShare * tokensPerSlotSecond * catchUpSeconds);
    return account -> {
      double weight = 1 + lagTokens.applyAsDouble(account) / tokensPerShare;
      return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, weight));
    };
  }
}
