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

  private static final long UNITS_PER_RETRY = 1_000;

  private final long unitsPerRequest;
  private final long maxUnits;
  private final AtomicLong balanceUnits;

  /**
   * Creates a full budget.
   *
   * @param share retries for each request, such as 0.2
   * @param reserve retries allowed before any request was seen, and the most that are saved
   */
  public RetryBudget(double share, int reserve) {
    this.unitsPerRequest = Math.round(share * UNITS_PER_RETRY);
    this.maxUnits = reserve * UNITS_PER_RETRY;
    this.balanceUnits = new AtomicLong(maxUnits);
  }

  /** Records a request that was admitted. */
  public void recordRequest() {
    balanceUnits.updateAndGet(before -> Math.min(maxUnits, before + unitsPerRequest));
  }

  /** Takes a retry from the budget; returns whether there was one. */
  public boolean tryAcquireRetry() {
    long before = balanceUnits.getAndUpdate(b -> b >= UNITS_PER_RETRY ? b - UNITS_PER_RETRY : b);
    return before >= UNITS_PER_RETRY;
  }
}
