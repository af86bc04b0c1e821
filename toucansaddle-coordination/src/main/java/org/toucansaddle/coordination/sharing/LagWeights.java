package org.toucansaddle.coordination.sharing;

import java.util.function.IntToDoubleFunction;

/**
 * Converts the lag of accounts in service into their weights in the plan.
 *
 * <p>A weight raises the account's share so that it catches up within {@code catchUpSeconds}; it
 * stays between fixed bounds. Immutable.
 *
 * @param slots slots of the pool
 * @param accounts number of backlogged accounts
 * @param tokensPerSlotSecond measured throughput of a busy slot, in tokens per second
 * @param catchUpSeconds time in which an account catches up, in seconds
 */
public record LagWeights(
    int slots, int accounts, double tokensPerSlotSecond, double catchUpSeconds) {

  private static final double MIN_WEIGHT = 0.1;
  private static final double MAX_WEIGHT = 4;

  /**
   * Returns the weight by account number.
   *
   * @param lagTokens lag by account number, in tokens; negative for an account that is ahead
   */
  public IntToDoubleFunction computeWeights(IntToDoubleFunction lagTokens) {
    double evenShare = (double) slots / Math.max(1, accounts);
    double tokensPerShare = Math.max(1, evenShare * tokensPerSlotSecond * catchUpSeconds);
    return account -> {
      double weight = 1 + lagTokens.applyAsDouble(account) / tokensPerShare;
      return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, weight));
    };
  }
}
