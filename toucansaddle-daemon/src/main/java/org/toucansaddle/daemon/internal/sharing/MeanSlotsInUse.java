package org.toucansaddle.daemon.internal.sharing;

import java.util.HashMap;
import java.util.Map;

/**
 * Mean number of slots that each account uses at this router while more of its requests wait.
 *
 * <p>An account's share of the fleet is often a fraction of a slot at one router. The number of
 * slots in use then varies, and only its mean over time shows the share. The mean is exponentially
 * weighted; time without waiting requests does not count. Not thread-safe.
 */
final class MeanSlotsInUse {

  private static final double TIME_CONSTANT_MILLIS = 2_000;
  private static final double MIN_MEAN_SLOTS = 0.05;

  /** Mean of one account. */
  private static final class AccountMean {
    private double mean;
    private int running;
    private boolean waiting;
    private long updatedAtMillis;

    AccountMean(int running, long nowMillis) {
      this.mean = running;
      this.running = running;
      this.updatedAtMillis = nowMillis;
    }

    void update(int newRunning, boolean newWaiting, long nowMillis) {
      if (waiting) {
        mean +=
            (1 - Math.exp((updatedAtMillis - nowMillis) / TIME_CONSTANT_MILLIS)) * (running - mean);
      }
      running = newRunning;
      waiting = newWaiting;
      updatedAtMillis = nowMillis;
    }
  }

  private final Map<Integer, AccountMean> meansByAccount = new HashMap<>();

  /**
   * Records a change of an account's requests.
   *
   * @param running number of its requests that run
   * @param waiting whether more of its requests wait
   * @param nowMillis monotonic time in milliseconds
   */
  void update(int account, int running, boolean waiting, long nowMillis) {
    AccountMean accountMean = meansByAccount.get(account);
    if (accountMean != null) {
      accountMean.update(running, waiting, nowMillis);
    } else if (running > 0) {
      AccountMean first = new AccountMean(running, nowMillis);
      first.waiting = waiting;
      meansByAccount.put(account, first);
    }
  }

  /** Returns whether an account has ever used a slot. */
  boolean hasUsedSlot(int account) {
    return meansByAccount.containsKey(account);
  }

  /**
   * Returns the mean of an account.
   *
   * <p>It is always positive, so that callers can divide by it. The account must have used a slot.
   */
  double mean(int account, long nowMillis) {
    AccountMean accountMean = meansByAccount.get(account);
    accountMean.update(accountMean.running, accountMean.waiting, nowMillis);
    return Math.max(MIN_MEAN_SLOTS, accountMean.mean);
  }
}
