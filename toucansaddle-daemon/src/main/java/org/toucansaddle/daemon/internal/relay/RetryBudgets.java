package org.toucansaddle.daemon.internal.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucansaddle.coordination.retry.RetryBudget;

/** Retry budgets of this router: one for each account and one for all. Thread-safe. */
public final class RetryBudgets {

  private static final double ACCOUNT_SHARE = 0.2;
  private static final int ACCOUNT_RESERVE = 20;
  private static final double TOTAL_SHARE = 0.1;
  private static final int TOTAL_RESERVE = 100;

  private final Map<Integer, RetryBudget> byAccount = new ConcurrentHashMap<>();
  private final RetryBudget total = new RetryBudget(TOTAL_SHARE, TOTAL_RESERVE);

  RetryBudget forAccount(int account) {
    return byAccount.computeIfAbsent(account, a -> new RetryBudget(ACCOUNT_SHARE, ACCOUNT_RESERVE));
  }

  /** Records an admitted request. */
  void recordRequest(int account) {
    forAccount(account).requestArrived();
    total.requestArrived();
  }

  /** Takes a retry from both budgets. */
  boolean tryAcquire(int account) {
    return forAccount(account).tryRetry() && total.tryRetry();
  }
}
