package org.toucansaddle.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bytes held for all callers of a server, bounded in sum.
 *
 * <p>A holding that alone exceeds the maximum is admitted if nothing else is held, so that the
 * largest body that is allowed can be served at all. Thread-safe; does no I/O.
 */
public final class ByteBudget {

  private final long maxBytes;
  private final AtomicLong held = new AtomicLong();

  /**
   * Creates an unused budget.
   *
   * @param maxBytes number of bytes that may be held
   */
  public ByteBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Bytes held for one caller until it is closed; none are counted after that. Thread-safe. */
  public final class Holding implements AutoCloseable {
    private long own;
    private boolean closed;

    private Holding() {}

    /** Holds more bytes if there is room; returns whether there was. */
    synchronized boolean grow(long bytes) {
      if (closed) {
        return true;
      }
      long heldByAll = held.addAndGet(bytes);
      if (heldByAll > maxBytes && heldByAll > own + bytes) {
        held.addAndGet(-bytes);
        return false;
      }
      own += bytes;
      return true;
    }

    @Override
    public synchronized void close() {
      if (!closed) {
        closed = true;
        held.addAndGet(-own);
      }
    }
  }

  /** Returns a holding without bytes. */
  public Holding open() {
    return new Holding();
  }

  /** Returns the number of bytes held. */
  public long heldBytes() {
    return held.get();
  }
}
