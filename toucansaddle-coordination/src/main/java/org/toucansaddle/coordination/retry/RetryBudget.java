package org.toucansaddle.coordination.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a share of the requests.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.2, 10);
 * budget.requestArrived();
 * if (budget.tryRetry()) { ... }
 * }</pre>
 *
 * <p>Each request adds a part of a retry; a retry takes a whole one. Invariant: retries never
 * exceed the reserve plus the share of the requests so far. Thread-safe.
 */
public final class RetryBudget {

  private static final long UNIT = 1_000;

  private final long perRequest;
  private final long max;
  private final AtomicLong balance;

  /**
   * Creates a full budget.
   *
   * @param share retries for each request, such as 0.2
   * @param reserve retries allowed before any request was seen, and the most that are saved
   */
  public RetryBudget(double share, int reserve) {
    this.perRequest = Math.round(share * UNIT);
    this.max = reserve * UNIT;
    this.balance = new AtomicLong(max);
  }

  /** Records a request that was admitted. */
  public void requestArrived() {
    balance.updateAndGet(before -> Math.min(max, before + perRequest));
  }

  /** Takes a retry from the budget; returns whether there was one. */
  public boolean tryRetry() {
    long before = balance.getAndUpdate(b -> b >= UNIT ? b - UNIT : b);
    return before >= UNIT;
  }
}
