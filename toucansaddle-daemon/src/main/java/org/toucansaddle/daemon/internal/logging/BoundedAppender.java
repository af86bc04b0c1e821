package org.toucansaddle.daemon.internal.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.AppenderBase;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines of {@code key=value} pairs asynchronously, on a dedicated thread.
 *
 * <p>Events that arrive while the queue is full are dropped and counted; the count is written with
 * the next batch. Callers never block on output. Thread-safe.
 */
public final class BoundedAppender extends AppenderBase<ILoggingEvent> {

  /** Maximum number of queued events, of about 300 bytes each. */
  private static final int QUEUE_CAPACITY = 4_096;

  /** Pause between batches, so that several lines share one write. */
  private static final int BATCH_PAUSE_MILLIS = 100;

  private final BlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final Semaphore eventsQueued = new Semaphore(0);
  private final PrintStream out;
  private Thread writer;

  /** Creates an appender that writes to a stream. */
  public BoundedAppender(PrintStream out) {
    this.out = out;
  }

  /** Returns the number of lines dropped since the last count was written. */
  public long dropped() {
    return dropped.get();
  }

  @Override
  public void start() {
    super.start();
    writer = new Thread(this::writeBatches, "log");
    writer.setDaemon(true);
    writer.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::writeQueued, "log-rest"));
  }

  @Override
  protected void append(ILoggingEvent event) {
    event.prepareForDeferredProcessing();
    if (!queue.offer(event)) {
      dropped.incrementAndGet();
    }
    if (eventsQueued.availablePermits() == 0) {
      eventsQueued.release();
    }
  }

  private void writeBatches() {
    try {
      while (true) {
        eventsQueued.acquire();
        writeQueued();
        Thread.sleep(BATCH_PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Writes all queued events.
   *
   * <p>Drains the queue under the lock, so that the shutdown hook waits until a batch that the
   * writer thread has drained is written.
   */
  private synchronized void writeQueued() {
    List<ILoggingEvent> batch = new ArrayList<>();
    queue.drainTo(batch);
    StringBuilder text = new StringBuilder();
    long droppedCount = dropped.getAndSet(0);
    if (droppedCount > 0) {
      text.append("level=WARN logger=log lines_dropped=").append(droppedCount).append('\n');
    }
    batch.forEach(event -> appendLine(text, event));
    out.print(text);
    out.flush();
  }

  private static void appendLine(StringBuilder text, ILoggingEvent event) {
    String logger = event.getLoggerName();
    text.append("time=")
        .append(event.getTimeStamp())
        .append(" level=")
        .append(event.getLevel())
        .append(" logger=")
        .append(logger, logger.lastIndexOf('.') + 1, logger.length())
        .append(' ')
        .append(withoutControls(event.getFormattedMessage()));
    IThrowableProxy failure = event.getThrowableProxy();
    if (failure != null) {
      String trace = ThrowableProxyUtil.asString(failure).replace('\n', '|').replace('\t', ' ');
      text.append(" failure=\"").append(trace).append('"');
    }
    text.append('\n');
  }

  /** Escapes control characters, so that a value of a document or a caller begins no line. */
  private static String withoutControls(String message) {
    if (!hasControls(message)) {
      return message;
    }
    StringBuilder escaped = new StringBuilder();
    message
        .codePoints()
        .forEach(
            c -> {
              if (Character.isISOControl(c)) {
                escaped.append(String.format(Locale.ROOT, "\\u%04x", c));
              } else {
                escaped.appendCodePoint(c);
              }
            });
    return escaped.toString();
  }

  /** A loop, since a stream costs more for each character of each line. */
  private static boolean hasControls(String message) {
    for (int i = 0; i < message.length(); i++) {
      if (Character.isISOControl(message.charAt(i))) {
        return true;
      }
    }
    return false;
  }
}
