package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/**
 * Runs an action at once when it is triggered, but not again within an interval: what is triggered
 * meanwhile shares one run at its end. Thread-safe.
 */
public final class ReportTrigger {

  /** Longest time from a trigger to its run; also bounds the rate of the runs. */
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final Runnable action;
  private final DelayedExecutor executor;
  private final LongSupplier clock;
  private final AtomicBoolean pending = new AtomicBoolean();
  private volatile long lastRunAt;

  /** Runs an action once after a delay. */
  @FunctionalInterface
  public interface DelayedExecutor {

    /** Schedules an action; the delay is in nanoseconds and may be 0. */
    void execute(Runnable action, long delayNanos);
  }

  /** Creates a trigger; {@code clock} returns nanoseconds. */
  public ReportTrigger(Runnable action, DelayedExecutor executor, LongSupplier clock) {
    this.action = action;
    this.executor = executor;
    this.clock = clock;
    this.lastRunAt = clock.getAsLong() - INTERVAL_NANOS;
  }

  /** Makes the action run within the interval. */
  public void trigger() {
    if (pending.compareAndSet(false, true)) {
      long delayNanos = Math.max(0, lastRunAt + INTERVAL_NANOS - clock.getAsLong());
      executor.execute(this::run, delayNanos);
    }
  }

  private void run() {
    lastRunAt = clock.getAsLong();
    pending.set(false);
    action.run();
  }
}
