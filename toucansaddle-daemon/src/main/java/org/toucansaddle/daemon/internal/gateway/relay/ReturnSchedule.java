package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Times at which callers of one service that were refused are asked to return, while its upstreams
 * take few requests or none.
 *
 * <p>Each caller gets a time of its own, in the order of the refusals, so that they do not return
 * together. Once one is due, new callers are refused for a moment in favour of the one that was
 * asked to return, as long as most callers do return when they are asked to. Thread-safe; does no
 * I/O.
 */
final class ReturnSchedule {

  /** Time for which a caller that was asked to return is waited for. */
  private static final long WAITED_FOR_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Times given out at most; the callers after that get a time without a place of their own. */
  private static final int MAX_PLACES = 1_000;

  /** Weight of one place in the fraction of those that were taken. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /** Fraction of taken places from which new callers wait for the others. */
  private static final double MIN_TAKEN_FRACTION = 0.5;

  private final Deque<Long> places = new ArrayDeque<>();
  private long lastPlaceAt;
  private boolean hasPlaces;
  private double takenFraction;

  /** Returns a copy that changes independently. */
  synchronized ReturnSchedule copy() {
    ReturnSchedule copy = new ReturnSchedule();
    copy.places.addAll(places);
    copy.lastPlaceAt = lastPlaceAt;
    copy.hasPlaces = hasPlaces;
    copy.takenFraction = takenFraction;
    return copy;
  }

  /**
   * Returns the delay after which a refused caller is asked to return, in milliseconds.
   *
   * @param earliestMillis time until the upstreams take a request
   * @param intervalMillis time between two requests that they take
   * @param maxMillis longest delay that helps a caller; later ones get no place of their own
   */
  synchronized long reserve(
      long nowNanos, long earliestMillis, long intervalMillis, long maxMillis) {
    long placeAt = nowNanos + TimeUnit.MILLISECONDS.toNanos(earliestMillis);
    if (hasPlaces) {
      long next = lastPlaceAt + TimeUnit.MILLISECONDS.toNanos(intervalMillis);
      placeAt = next - placeAt > 0 ? next : placeAt;
    }
    long delayMillis = TimeUnit.NANOSECONDS.toMillis(placeAt - nowNanos);
    if (places.size() < MAX_PLACES && delayMillis <= Math.max(earliestMillis, maxMillis)) {
      places.addLast(placeAt);
      lastPlaceAt = placeAt;
      hasPlaces = true;
    }
    return Math.max(1, delayMillis);
  }

  /**
   * Returns whether a request may have what the upstreams take now.
   *
   * @param returned whether its caller was refused before
   */
  synchronized boolean admits(long nowNanos, boolean returned) {
    while (!places.isEmpty() && nowNanos - places.peekFirst() > WAITED_FOR_NANOS) {
      removeFirst(false);
    }
    boolean isDue = !places.isEmpty() && nowNanos - places.peekFirst() >= 0;
    if (returned && isDue) {
      removeFirst(true);
    }
    return returned || !isDue || takenFraction < MIN_TAKEN_FRACTION;
  }

  private void removeFirst(boolean taken) {
    places.removeFirst();
    takenFraction += SAMPLE_WEIGHT * ((taken ? 1 : 0) - takenFraction);
  }
}
