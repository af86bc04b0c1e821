package org.toucansaddle.coordination.admission;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Descriptors of a router's connections with callers, bounded in sum.
 *
 * <p>Bounds for each kind of connection alone add up to more than the process may open, and then
 * none can be accepted. Here a new connection takes the place of another one once the budget is
 * used up; the kinds give way in a fixed order. If none can give way, the new one is not admitted.
 * So at most the maximum is held between two arrivals. Thread-safe; does no I/O of its own.
 */
public final class DescriptorBudget {

  private final int maxOpen;
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicLong gaveWay = new AtomicLong();
  private final AtomicLong turnedAway = new AtomicLong();

  /**
   * Creates an unused budget.
   *
   * @param maxOpen number of connections that may be open
   */
  public DescriptorBudget(int maxOpen) {
    this.maxOpen = maxOpen;
  }

  /** Descriptor of one connection; returned once, however often it is closed. Thread-safe. */
  public final class Holding implements AutoCloseable {
    private final AtomicBoolean returned = new AtomicBoolean();

    private Holding() {}

    @Override
    public void close() {
      if (returned.compareAndSet(false, true)) {
        open.decrementAndGet();
      }
    }
  }

  /** Counts a connection that is open from now on. */
  public Holding hold() {
    open.incrementAndGet();
    return new Holding();
  }

  /**
   * Makes room for a new connection.
   *
   * @param closers close one connection of a kind and return its holding, or return false if there
   *     is none; the kind that gives way first comes first
   * @return whether the new connection may be held
   */
  public boolean makeRoom(List<BooleanSupplier> closers) {
    if (!isFull()) {
      return true;
    }
    for (BooleanSupplier closer : closers) {
      if (closer.getAsBoolean()) {
        gaveWay.incrementAndGet();
        return true;
      }
    }
    turnedAway.incrementAndGet();
    return false;
  }

  /** Returns whether one connection more would exceed the budget. */
  public boolean isFull() {
    return open.get() >= maxOpen;
  }

  /** Returns the number of connections that may be open. */
  public int maxOpen() {
    return maxOpen;
  }

  /** Returns the number of open connections. */
  public int openCount() {
    return open.get();
  }

  /** Returns the number of connections closed so far to make room for others. */
  public long gaveWayCount() {
    return gaveWay.get();
  }

  /** Returns the number of new connections for which there was no room so far. */
  public long turnedAwayCount() {
    return turnedAway.get();
  }
}
