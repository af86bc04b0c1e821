package org.toucansaddle.daemon.internal.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucansaddle.coordination.retry.RetryBudget;

/** Retry budgets of this router: one per client account and one for all. Thread-safe. */
public final class RetryBudgets {

  private static final double ACCOUNT_RETRIES_PER_REQUEST = 0.2;
  private static final int ACCOUNT_RETRY_RESERVE = 20;
  private static final double TOTAL_RETRIES_PER_REQUEST = 0.1;
  private static final int TOTAL_RETRY_RESERVE = 100;

  private final Map<Integer, RetryBudget> byAccount = new ConcurrentHashMap<>();
  private final RetryBudget total = new RetryBudget(TOTAL_RETRIES_PER_REQUEST, TOTAL_RETRY_RESERVE);

  RetryBudget forAccount(int account) {
    return byAccount.computeIfAbsent(
        account, a -> new RetryBudget(ACCOUNT_RETRIES_PER_REQUEST, ACCOUNT_RETRY_RESERVE));
  }

  /** Records an admitted request of an account. */
  void recordRequest(int account) {
    forAccount(account).recordRequest();
    total.recordRequest();
  }

  /**
   * Acquires a retry from the account's budget, then from the total budget; returns whether both
   * had one.
   */
  boolean tryAcquire(int account) {
    return forAccount(account).tryAcquireRetry() && total.tryAcquireRetry();
  }
}
