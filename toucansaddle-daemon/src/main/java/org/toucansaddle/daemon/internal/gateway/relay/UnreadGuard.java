package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.admission.ReadingPause;
import org.toucansaddle.coordination.admission.UnreadBudget;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Tells the budget of the router what a response holds, and ends the response if it gives way or
 * its caller does not take it in time.
 *
 * <p>Nothing is counted once the exchange is complete. Confined to the caller's I/O thread.
 */
final class UnreadGuard implements AutoCloseable {

  private final RelayContext context;
  private final CallRequest request;
  private final XnioIoThread ioThread;
  private final Runnable writeLeft;
  private final Runnable onEnd;
  private final UnreadBudget.Holding holding;
  private final ReadingPause pause = new ReadingPause();
  private XnioExecutor.Key timer;
  private long unread;
  private long unfinished;
  private boolean closed;

  /**
   * Creates a guard of a response that holds nothing.
   *
   * @param writeLeft writes what the caller takes by now of the bytes that it left
   * @param onEnd ends the response so that it does not look complete, and its attempt
   */
  UnreadGuard(
      RelayContext context,
      HttpServerExchange exchange,
      CallRequest request,
      Runnable writeLeft,
      Runnable onEnd) {
    this.context = context;
    this.request = request;
    this.ioThread = exchange.getIoThread();
    this.writeLeft = writeLeft;
    this.onEnd = onEnd;
    this.holding =
        context
            .unreadBudget()
            .open(request.account(), () -> ioThread.execute(() -> end("no-room")));
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          close();
          next.proceed();
        });
  }

  /** Records how many bytes the caller has left after content was written. */
  void onWritten(long bytes) {
    if (bytes > 0 && !closed) {
      pause.onLeft(context.nowNanos());
      startTimer();
    }
    setUnread(bytes);
  }

  /** Records how many bytes are left after the caller took some. */
  void onTaken(long bytes) {
    if (bytes == 0) {
      pause.onAllTaken();
    } else if (bytes < unread) {
      pause.onTaken(context.nowNanos());
    }
    setUnread(bytes);
  }

  /** Records the size of an event that is not complete. */
  void onUnfinished(long bytes) {
    if (bytes != unfinished) {
      unfinished = bytes;
      holding.set(unread, unfinished);
    }
  }

  private void setUnread(long bytes) {
    if (bytes != unread) {
      unread = bytes;
      holding.set(unread, unfinished);
    }
  }

  /** Records that the upstream has completed the response. */
  void onUpstreamDone() {
    pause.onUpstreamDone(context.nowNanos());
    if (timer != null) {
      timer.remove();
      timer = null;
    }
    startTimer();
  }

  /** Returns how many bytes to read at once from the upstream, instead of the usual number. */
  int readBytes(int usual) {
    return holding.readBytes(usual);
  }

  private void startTimer() {
    if (timer == null && !closed && pause.isPaused()) {
      long millis = TimeUnit.NANOSECONDS.toMillis(pause.remainingNanos(context.nowNanos()));
      timer = ioThread.executeAfter(this::check, Math.max(1, millis), TimeUnit.MILLISECONDS);
    }
  }

  private void check() {
    timer = null;
    if (isOverdue()) {
      // The kernel announces room only once much is free, and a late I/O thread has not seen it.
      writeLeft.run();
    }
    if (isOverdue()) {
      end("unread");
    } else {
      startTimer();
    }
  }

  private boolean isOverdue() {
    return !closed && pause.remainingNanos(context.nowNanos()) <= 0;
  }

  private void end(String cause) {
    if (closed) {
      return;
    }
    long pausedMillis = TimeUnit.NANOSECONDS.toMillis(pause.pausedNanos(context.nowNanos()));
    context.metrics().recordUnreadEnded(cause);
    RelayLog.unreadEnded(request, cause, unread, unfinished, pausedMillis);
    close();
    onEnd.run();
  }

  @Override
  public void close() {
    closed = true;
    holding.close();
    if (timer != null) {
      timer.remove();
      timer = null;
    }
  }
}
