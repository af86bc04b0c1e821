package org.toucansaddle.http;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/**
 * Lets connections that always have more to read take turns with all others of their I/O thread.
 *
 * <pre>{@code
 * for (int reads = 0; reads < ReadTurns.MAX_READS; reads++) {
 *   ...
 * }
 * ReadTurns.awaitNext(this::read);
 * }</pre>
 *
 * <p>An I/O thread selects ready connections and expired timers only when its queue of tasks is
 * empty. At most one waiting reader is due at a time, so that any number of them leaves it the time
 * to do so. Confined to the I/O thread.
 */
public final class ReadTurns {

  /** Reads of one connection before others get their turn. */
  public static final int MAX_READS = 16;

  private static final long NEXT_TURN_MILLIS = 1;

  private static final ThreadLocal<ReadTurns> CURRENT =
      ThreadLocal.withInitial(() -> new ReadTurns(XnioIoThread.requireCurrentThread()));

  private final XnioIoThread ioThread;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private boolean nextScheduled;

  private ReadTurns(XnioIoThread ioThread) {
    this.ioThread = ioThread;
  }

  /**
   * Runs a reader in its next turn on the current I/O thread.
   *
   * @throws IllegalStateException if the current thread is no I/O thread
   */
  public static void awaitNext(Runnable reader) {
    CURRENT.get().add(reader);
  }

  private void add(Runnable reader) {
    waiting.add(reader);
    if (!nextScheduled) {
      scheduleNext();
    }
  }

  private void scheduleNext() {
    nextScheduled = true;
    ioThread.executeAfter(this::runNext, NEXT_TURN_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Schedules the next reader only when this one is done, or it would be due by then. */
  private void runNext() {
    try {
      waiting.remove().run();
    } finally {
      nextScheduled = false;
      if (!waiting.isEmpty()) {
        scheduleNext();
      }
    }
  }
}
