package org.toucansaddle.daemon.internal.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.toucansaddle.protocol.generated.ConfigurationDelta;

/**
 * Holds the configuration in force at this daemon.
 *
 * <p>Readers get an immutable snapshot. Writers replace it atomically, and only by a higher
 * revision. Thread-safe.
 */
public final class ConfigurationHolder {

  private static final long NEVER_CONFIRMED = Long.MIN_VALUE;

  private final AtomicReference<FleetConfiguration> current =
      new AtomicReference<>(new FleetConfiguration(ConfigurationItems.empty()));
  private final AtomicLong confirmedAtNanos = new AtomicLong(NEVER_CONFIRMED);
  private final List<Consumer<FleetConfiguration>> listeners = new CopyOnWriteArrayList<>();

  /** Returns the configuration in force. */
  public FleetConfiguration current() {
    return current.get();
  }

  /** Adds a listener that is called after each replacement, on the thread that replaced it. */
  public void addChangeListener(Consumer<FleetConfiguration> listener) {
    listeners.add(listener);
  }

  /** Replaces the configuration if the revision of these items is higher. */
  public void applyIfNewer(ConfigurationItems items) {
    while (true) {
      FleetConfiguration previous = current.get();
      if (items.revision() <= previous.revision()) {
        return;
      }
      FleetConfiguration next = new FleetConfiguration(items);
      if (current.compareAndSet(previous, next)) {
        listeners.forEach(listener -> listener.accept(next));
        return;
      }
    }
  }

  /**
   * Applies a delta if it leads to a higher revision.
   *
   * @return false if the delta cannot be applied because earlier changes are missing
   */
  public boolean applyIfNewer(ConfigurationDelta delta) {
    ConfigurationItems items = current.get().items();
    if (!items.canApply(delta)) {
      return false;
    }
    applyIfNewer(items.with(delta));
    return true;
  }

  /**
   * Records that the revision in force was the latest at a given time.
   *
   * @param atNanos time by {@link System#nanoTime}; a time before the last confirmation is ignored
   */
  public void recordConfirmation(long atNanos) {
    confirmedAtNanos.accumulateAndGet(
        atNanos,
        (previous, candidate) ->
            previous == NEVER_CONFIRMED || candidate - previous > 0 ? candidate : previous);
  }

  /** Returns whether a confirmation was ever recorded. */
  public boolean isConfirmed() {
    return confirmedAtNanos.get() != NEVER_CONFIRMED;
  }

  /**
   * Returns the age of the newest confirmation in milliseconds.
   *
   * @param nowNanos current time by {@link System#nanoTime}
   * @return the age, or {@code Long.MAX_VALUE} if there was no confirmation
   */
  public long confirmedAgeMillis(long nowNanos) {
    long confirmedNanos = confirmedAtNanos.get();
    return confirmedNanos == NEVER_CONFIRMED
        ? Long.MAX_VALUE
        : Math.max(0, (nowNanos - confirmedNanos) / 1_000_000);
  }
}
