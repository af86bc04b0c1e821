package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * This router's part of the fleet's budget for retries of requests to one service.
 *
 * <p>Any window has at most {@code ratio} retries per request received here in that window, or in
 * the one half a window earlier, plus an equal part of the fleet's slack. A retry counts only the
 * requests of the last half window, so that the bound also holds for later windows. Thread-safe.
 */
public final class RetryBudget {

  /** Usable fraction of the fleet's slack; the rest covers routers that have just started. */
  private static final double USABLE_SLACK_FRACTION = 0.8;

  private final double ratio;
  private final int slack;
  private final long windowNanos;
  private final IntSupplier routerCount;
  private final LongSupplier nanoClock;
  private final Deque<Long> requestTimes = new ArrayDeque<>();
  private final Deque<Long> retryTimes = new ArrayDeque<>();

  /**
   * Creates a budget.
   *
   * @param routerCount number of routers that share the slack
   * @param nanoClock gives nanoseconds
   */
  public RetryBudget(
      double ratio, int slack, int windowMillis, IntSupplier routerCount, LongSupplier nanoClock) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
    this.routerCount = routerCount;
    this.nanoClock = nanoClock;
  }

  /** Records a request. */
  public synchronized void recordRequest() {
    long now = nanoClock.getAsLong();
    expire(requestTimes, now - windowNanos / 2);
    requestTimes.add(now);
  }

  /** Acquires a retry from the budget; returns whether one was left. */
  public synchronized boolean tryAcquireRetry() {
    long now = nanoClock.getAsLong();
    expire(requestTimes, now - windowNanos / 2);
    expire(retryTimes, now - windowNanos);
    double share = USABLE_SLACK_FRACTION * slack / Math.max(1, routerCount.getAsInt());
    if (retryTimes.size() + 1 > ratio * requestTimes.size() + share) {
      return false;
    }
    retryTimes.add(now);
    return true;
  }

  private static void expire(Deque<Long> times, long startNanos) {
    while (!times.isEmpty() && times.peek() - startNanos < 0) {
      times.poll();
    }
  }
}
