package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.internal.gateway.routing.AnswerOrder;
import org.toucansaddle.daemon.internal.gateway.routing.AnswerOrder.Finding;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Watches one attempt for an upstream that does not answer, or stops in the middle of a stream.
 *
 * <p>A request that another upstream may take is taken from a silent one. In any case an upstream
 * with a stuck request is passed over for a while. Engines begin prompts in order; of other
 * requests silence tells only where such requests are usually answered in time. Confined to the
 * call's I/O thread.
 */
final class StallDetector implements AutoCloseable {

  /** Silence in the middle of a stream after which another upstream goes on with it. */
  private static final long STALL_TIMEOUT_MILLIS = 1_500;

  /** Pause between two looks at a request that is overdue. */
  private static final long CHECK_INTERVAL_MILLIS = 100;

  /** Least time after which a prompt counts as overdue: chunks of others may stand before it. */
  private static final long MIN_DUE_MILLIS = 400;

  /** Expected times after which a prompt counts as overdue. */
  private static final double DUE_TO_EXPECTED_RATIO = 2;

  private final RelayContext context;
  private final RelayedCall call;
  private final CallAttempt attempt;
  private final XnioIoThread ioThread;
  private final OnTimeRate onTimeRate;
  private final long sentAtNanos;
  private final long dueMillis;
  private XnioExecutor.Key timer;
  private long lastDataAtNanos;
  private boolean responseStarted;
  private boolean overdue;
  private boolean reported;

  /**
   * Starts the watch of an attempt that is sent now.
   *
   * @param expectedMillis expected time until the first token of a prompt, in milliseconds
   */
  StallDetector(
      RelayContext context,
      RelayedCall call,
      CallAttempt attempt,
      XnioIoThread thread,
      double expectedMillis) {
    this.context = context;
    this.call = call;
    this.attempt = attempt;
    this.ioThread = thread;
    this.onTimeRate = context.onTimeRate(call.route().name());
    this.sentAtNanos = context.nowNanos();
    this.lastDataAtNanos = sentAtNanos;
    this.dueMillis =
        isPrompt()
            ? Math.max(MIN_DUE_MILLIS, Math.round(DUE_TO_EXPECTED_RATIO * expectedMillis))
            : call.route().targetMillis();
    schedule(dueMillis);
  }

  /** Notes that the upstream began to answer. */
  void onResponseStarted() {
    if (!responseStarted) {
      responseStarted = true;
      recordOnTime(true);
      responseOrder().answered(sentAtNanos, context.nowNanos());
    }
  }

  /** Notes that content arrived. */
  void onData() {
    onResponseStarted();
    lastDataAtNanos = context.nowNanos();
  }

  private void recordOnTime(boolean inTime) {
    if (!overdue) {
      onTimeRate.addSample(inTime);
    }
  }

  private boolean isPrompt() {
    return call.head().promptTokens() > 0;
  }

  private AnswerOrder responseOrder() {
    return attempt.upstream().order();
  }

  private void schedule(long millis) {
    timer = ioThread.executeAfter(this::check, Math.max(1, millis), TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (!call.isCurrent(attempt)) {
      return;
    }
    long now = context.nowNanos();
    long silent = TimeUnit.NANOSECONDS.toMillis(now - lastDataAtNanos);
    if (responseStarted) {
      checkStream(silent);
    } else {
      checkFirstByte(silent, now);
    }
  }

  private void checkStream(long silent) {
    if (!call.isResumable()) {
      return;
    }
    if (silent >= STALL_TIMEOUT_MILLIS && mayRetry()) {
      attempt.failStalled(silent);
    } else {
      schedule(Math.max(CHECK_INTERVAL_MILLIS, STALL_TIMEOUT_MILLIS - silent));
    }
  }

  private void checkFirstByte(long silent, long now) {
    int target = call.route().targetMillis();
    if (silent >= target) {
      recordOnTime(false);
      overdue = true;
    }
    boolean tells = isPrompt() || onTimeRate.isMostlyOnTime();
    long due = TimeUnit.MILLISECONDS.toNanos(dueMillis);
    Finding finding =
        tells
            ? responseOrder().judge(sentAtNanos, due, TimeUnit.MILLISECONDS.toNanos(target), now)
            : Finding.NONE;
    if (finding != Finding.NONE && !reported) {
      reported = true;
      reportStuck(finding, silent, now);
    }
    boolean tooLong = tells && silent >= Math.max(STALL_TIMEOUT_MILLIS, 2L * target);
    if ((finding == Finding.OVERTAKEN || tooLong) && call.isMovable() && mayRetry()) {
      attempt.failStalled(silent);
    } else {
      schedule(CHECK_INTERVAL_MILLIS);
    }
  }

  private void reportStuck(Finding finding, long silent, long now) {
    context.metrics().recordAttempt("stuck");
    boolean changes = responseOrder().found(finding, now);
    RelayLog.upstreamStuck(call, attempt.upstream().id(), finding, silent, changes);
  }

  private boolean mayRetry() {
    return call.remainingMillis() >= STALL_TIMEOUT_MILLIS && call.hasAttemptsLeft();
  }

  @Override
  public void close() {
    if (timer != null) {
      timer.remove();
    }
  }
}
