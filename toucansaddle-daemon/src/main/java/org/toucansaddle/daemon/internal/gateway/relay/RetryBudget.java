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
  private static final double SLACK_USED = 0.8;

  private final double ratio;
  private final int slack;
  private final long windowNanos;
  private final IntSupplier routers;
  private final LongSupplier clock;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();

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
    this.routers = routers;
    this.clock = clock;
  }

  /** Counts a request. */
  public synchronized void request() {
    long now = clock.getAsLong();
    expire(requests, now - windowNanos / 2);
    requests.add(now);
  }

  /** Takes a repeat from the budget, if there is one left. */
  public synchronized boolean tryRepeat() {
    long now = clock.getAsLong();
    expire(requests, now - windowNanos / 2);
    expire(repeats, now - windowNanos);
    double share = SLACK_USED * slack / Math.max(1, routers.getAsInt());
    if (repeats.size() + 1 > ratio * requests.size() + share) {
      return false;
    }
    repeats.add(now);
    return true;
  }

  private static void expire(Deque<Long> times, long before) {
    while (!times.isEmpty() && times.peek() - before < 0) {
      times.poll();
    }
  }
}
