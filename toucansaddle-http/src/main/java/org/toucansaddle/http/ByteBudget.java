package org.toucansaddle.http;

import java.util.concurrent.atomic.AtomicBoolean;
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

  /** Bytes held for one caller until it is closed. Grown by one thread; closed by any, once. */
  public final class Holding implements AutoCloseable {
    private final AtomicLong own = new AtomicLong();
    private final AtomicBoolean closed = new AtomicBoolean();

    private Holding() {}

    /** Holds more bytes if there is room; returns whether there was. */
    boolean grow(long bytes) {
      long ownBefore = own.get();
      long heldByAll = held.addAndGet(bytes);
      if (heldByAll > maxBytes && heldByAll > ownBefore + bytes) {
        held.addAndGet(-bytes);
        return false;
      }
      own.addAndGet(bytes);
      return true;
    }

    @Override
    public void close() {
      if (closed.compareAndSet(false, true)) {
        held.addAndGet(-own.get());
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
