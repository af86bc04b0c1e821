package org.toucansaddle.daemon.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * New connections that wait to be handled, in an order that keeps goodput under overload.
 *
 * <p>The newest is handled first, since its caller waits the longest from now on. One that has
 * waited too long is to be refused: its caller may have left, and another router can serve it
 * sooner. In the order of arrival, a queue that is longer than callers wait would be made up of
 * requests whose callers are gone by the time they are read, and none would be served.
 *
 * <p>Does no I/O. Not thread-safe.
 *
 * @param <T> type of the connections
 */
final class ArrivalQueue<T> {

  private final int capacity;
  private final LongSupplier maxWaitNanos;
  private final Deque<Arrival<T>> waiting = new ArrayDeque<>();

  private record Arrival<T>(T connection, long arrivedAt) {}

  /**
   * Creates an empty queue.
   *
   * @param capacity connections that may wait
   * @param maxWaitNanos wait after which a connection is to be refused now, in nanoseconds
   */
  ArrivalQueue(int capacity, LongSupplier maxWaitNanos) {
    this.capacity = capacity;
    this.maxWaitNanos = maxWaitNanos;
  }

  /**
   * Adds a connection that arrives now; returns the one that has to make room for it, if any.
   *
   * @param now current time, in nanoseconds
   */
  Optional<T> add(T connection, long now) {
    waiting.addLast(new Arrival<>(connection, now));
    return waiting.size() > capacity ? takeOldest() : Optional.empty();
  }

  /** Removes the connection that has waited longest. */
  Optional<T> takeOldest() {
    return Optional.ofNullable(waiting.pollFirst()).map(Arrival::connection);
  }

  /** Removes the connection that arrived last. */
  Optional<T> takeNewest() {
    return Optional.ofNullable(waiting.pollLast()).map(Arrival::connection);
  }

  /** Removes the connection that has waited longest if it has waited too long. */
  Optional<T> takeOverdue(long now) {
    Arrival<T> oldest = waiting.peekFirst();
    if (oldest == null || now - oldest.arrivedAt() <= maxWaitNanos.getAsLong()) {
      return Optional.empty();
    }
    return takeOldest();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }
}
