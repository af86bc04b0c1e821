package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * This router's part of the fleet's budget for repeated requests to one service.
 *
 * <p>Within any window at most {@code ratio} repeats for each request taken here in that window or
 * in the one half a window before, and an even part of the fleet's slack. To hold that for every
 * later window, a repeat counts the requests of the last half window only. Thread-safe.
 */
public final class RetryBudget {

  /** Part of the fleet's slack that is used; the rest covers routers that have just come. */
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
   * @param routers number of routers that share the slack
   * @param clock gives nanoseconds
   */
  public RetryBudget(
      double ratio, int slack, int windowMillis, IntSupplier routers, LongSupplier clock) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
    this.routerCount = routers;
    this.nanoClock = clock;
  }

  /** Counts a request. */
  public synchronized void recordRequest() {
    long now = nanoClock.getAsLong();
    expire(requestTimes, now - windowNanos / 2);
    requestTimes.add(now);
  }

  /** Takes a repeat from the budget, if there is one left. */
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

  private static void expire(Deque<Long> times, long before) {
    while (!times.isEmpty() && times.peek() - before < 0) {
      times.poll();
    }
  }
}
