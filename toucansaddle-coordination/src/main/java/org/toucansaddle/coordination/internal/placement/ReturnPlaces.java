package org.toucansaddle.coordination.internal.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Times at which callers that were refused come back to be served.
 *
 * <p>A part of what is granted goes to callers that came back; each place takes its turn in that
 * part. Confined to its placer's lock.
 */
final class ReturnPlaces {

  /** Part of the grants for callers that come back. */
  private static final double RETURN_FRACTION = 0.3;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Time in which the weight of a grant decays to 1/e. */
  private static final double DECAY_SECONDS = 2;

  private final Deque<Long> places = new ArrayDeque<>();
  private double recentGrants;
  private long updatedAt;
  private long lastPlaceAt;

  void recordGrant(long now) {
    decay(now);
    recentGrants++;
  }

  private void decay(long now) {
    recentGrants *= Math.exp(-(now - updatedAt) / (NANOS_PER_SECOND * DECAY_SECONDS));
    updatedAt = now;
  }

  /**
   * Reserves the next place between two delays.
   *
   * @return delay until the place, in nanoseconds; -1 if there is none
   */
  long reserve(long minDelayNanos, long maxDelayNanos, long now) {
    decay(now);
    double perNano = RETURN_FRACTION * recentGrants / DECAY_SECONDS / NANOS_PER_SECOND;
    long interval = (long) Math.min(maxDelayNanos, 1 / Math.max(perNano, 1e-12));
    long placeAt = Math.max(lastPlaceAt + interval, now + minDelayNanos);
    if (placeAt - now > maxDelayNanos) {
      return -1;
    }
    lastPlaceAt = placeAt;
    places.addLast(placeAt);
    return placeAt - now;
  }

  /** Takes the earliest place that is at most this old; returns whether there was one. */
  boolean take(long maxAgeNanos, long now) {
    while (!places.isEmpty() && now - places.peekFirst() > maxAgeNanos) {
      places.removeFirst();
    }
    return places.pollFirst() != null;
  }
}
