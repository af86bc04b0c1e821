package org.toucansaddle.daemon.internal;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/**
 * Runs a task at once when it is requested, but not again within an interval: requests of that time
 * share one run at its end. Thread-safe.
 */
public final class PacedTask {

  private final Runnable task;
  private final long intervalNanos;
  private final DelayedExecutor executor;
  private final LongSupplier clock;
  private final AtomicBoolean requested = new AtomicBoolean();
  private volatile long lastRunAt;

  /** Runs an action once after a delay. */
  @FunctionalInterface
  public interface DelayedExecutor {

    /** Schedules an action; the delay is in nanoseconds and may be 0. */
    void execute(Runnable action, long delayNanos);
  }

  /**
   * Creates a task that was not requested.
   *
   * @param intervalMillis longest time from a request to its run, and shortest between two runs
   * @param clock returns nanoseconds
   */
  public PacedTask(
      Runnable task, int intervalMillis, DelayedExecutor executor, LongSupplier clock) {
    this.task = task;
    this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
    this.executor = executor;
    this.clock = clock;
    this.lastRunAt = clock.getAsLong() - intervalNanos;
  }

  /** Makes the task run within the interval. */
  public void request() {
    if (requested.compareAndSet(false, true)) {
      long delayNanos = Math.max(0, lastRunAt + intervalNanos - clock.getAsLong());
      executor.execute(this::run, delayNanos);
    }
  }

  private void run() {
    lastRunAt = clock.getAsLong();
    requested.set(false);
    task.run();
  }
}
