package org.toucansaddle.coordination.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of the requests (token bucket).
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.2, 10);
 * budget.requestArrived();
 * if (budget.tryRetry()) { ... }
 * }</pre>
 *
 * <p>Each request adds a fraction of a retry; each retry consumes a whole one. Invariant: the
 * number of retries never exceeds the reserve plus the share of the requests so far. Thread-safe.
 */
public final class RetryBudget {

  /** Resolution of the balance, which allows shares that are not integers. */
  private static final long UNITS_PER_RETRY = 1_000;

  private final long unitsPerRequest;
  private final long maxUnits;
  private final AtomicLong balanceUnits;

  /**
   * Creates a full budget.
   *
   * @param share retries allowed per request, such as 0.2
   * @param reserve initial number of retries, and the maximum that can accumulate
   */
  public RetryBudget(double share, int reserve) {
    this.unitsPerRequest = Math.round(share * UNITS_PER_RETRY);
    this.maxUnits = reserve * UNITS_PER_RETRY;
    this.balanceUnits = new AtomicLong(maxUnits);
  }

  /** Records an admitted request. */
  public void recordRequest() {
    balanceUnits.updateAndGet(units -> Math.min(maxUnits, units + unitsPerRequest));
  }

  /** Acquires one retry; returns false if the budget is exhausted. */
  public boolean tryAcquireRetry() {
    long unitsBefore =
        balanceUnits.getAndUpdate(
            units -> units >= UNITS_PER_RETRY ? units - UNITS_PER_RETRY : units);
    return unitsBefore >= UNITS_PER_RETRY;
  }
}
