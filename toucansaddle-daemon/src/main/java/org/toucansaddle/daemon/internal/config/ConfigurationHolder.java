package org.toucansaddle.daemon.internal.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.toucansaddle.protocol.generated.ConfigurationDelta;

/**
 * The configuration in force at this daemon.
 *
 * <p>Readers get an immutable snapshot; writers swap it atomically, and only for a higher revision.
 * Thread-safe.
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

  /** Adds a listener that is called after each swap, on the thread that swapped. */
  public void addChangeListener(Consumer<FleetConfiguration> listener) {
    listeners.add(listener);
  }

  /** Puts items in force if their revision is higher. */
  public void applyIfNewer(ConfigurationItems items) {
    while (true) {
      FleetConfiguration before = current.get();
      if (items.revision() <= before.revision()) {
        return;
      }
      FleetConfiguration after = new FleetConfiguration(items);
      if (current.compareAndSet(before, after)) {
        listeners.forEach(listener -> listener.accept(after));
        return;
      }
    }
  }

  /** Puts a delta in force; returns false if changes before it are missing here. */
  public boolean applyIfNewer(ConfigurationDelta delta) {
    ConfigurationItems items = current.get().items();
    if (!items.canApply(delta)) {
      return false;
    }
    applyIfNewer(items.with(delta));
    return true;
  }

  /** Records that the revision in force was the latest at a time of {@link System#nanoTime}. */
  public void recordConfirmation(long atNanos) {
    confirmedAtNanos.accumulateAndGet(
        atNanos, (before, now) -> before == NEVER_CONFIRMED || now - before > 0 ? now : before);
  }

  /** Returns whether a confirmation was ever received. */
  public boolean isConfirmed() {
    return confirmedAtNanos.get() != NEVER_CONFIRMED;
  }

  /** Returns the age of the newest confirmation in milliseconds, or the largest number. */
  public long confirmedAgeMillis(long nowNanos) {
    long at = confirmedAtNanos.get();
    return at == NEVER_CONFIRMED ? Long.MAX_VALUE : Math.max(0, (nowNanos - at) / 1_000_000);
  }
}
