package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.Finding;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Detects an upstream that does not respond to an attempt, or that stalls within a stream.
 *
 * <p>A request that may move is then sent to another upstream, too, and continues at the one that
 * responds first; see {@link Takeover}. In any case an upstream with a stuck request is skipped for
 * a while. Engines start prompts in order; for other requests a missing response is conclusive only
 * if the route's requests are usually answered in time. Confined to the call's I/O thread.
 */
final class StallDetector implements AutoCloseable {

  /** Time without data after which another upstream may resume a stream. */
  private static final long STALL_TIMEOUT_MILLIS = 1_500;

  /** Interval between checks of an overdue request. */
  private static final long CHECK_INTERVAL_MILLIS = 100;

  /** Delay after which all data that has arrived was read: the next pass over all connections. */
  private static final long NEXT_PASS_MILLIS = 1;

  /** Minimum time until a prompt is overdue: chunks of other prompts may precede it. */
  private static final long MIN_DUE_MILLIS = 400;

  /** Multiple of the expected time after which a prompt is overdue. */
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
  private boolean readingPaused;
  private boolean overdue;
  private boolean reported;

  /**
   * Starts monitoring an attempt that is sent now.
   *
   * @param expectedMillis expected time until the first token of a prompt, in milliseconds
   */
  StallDetector(
      RelayContext context,
      RelayedCall call,
      CallAttempt attempt,
      XnioIoThread ioThread,
      double expectedMillis) {
    this.context = context;
    this.call = call;
    this.attempt = attempt;
    this.ioThread = ioThread;
    this.onTimeRate = context.onTimeRate(call.route().name());
    this.sentAtNanos = context.nowNanos();
    this.lastDataAtNanos = sentAtNanos;
    this.dueMillis =
        isPrompt()
            ? Math.max(MIN_DUE_MILLIS, Math.round(DUE_TO_EXPECTED_RATIO * expectedMillis))
            : call.route().targetMillis();
    schedule(dueMillis);
  }

  /** Records that the upstream started to respond. */
  void onResponseStarted() {
    if (!responseStarted) {
      responseStarted = true;
      recordOnTime(true);
      responseOrder().recordAnswer(sentAtNanos, context.nowNanos());
    }
  }

  /** Records that content arrived. */
  void onData() {
    onResponseStarted();
    lastDataAtNanos = context.nowNanos();
  }

  /** Records that nothing is read until the caller accepts more; that is no silence. */
  void onReadingPaused() {
    readingPaused = true;
  }

  /** Records that reading continues. */
  void onReadingResumed() {
    readingPaused = false;
    lastDataAtNanos = context.nowNanos();
  }

  private void recordOnTime(boolean onTime) {
    if (!overdue) {
      onTimeRate.addSample(onTime);
    }
  }

  private boolean isPrompt() {
    return call.head().promptTokens() > 0;
  }

  private HangDetector responseOrder() {
    return attempt.upstream().hangDetector();
  }

  private void schedule(long millis) {
    timer =
        ioThread.executeAfter(this::checkAfterNextPass, Math.max(1, millis), TimeUnit.MILLISECONDS);
  }

  /** Timers of a late I/O thread run before it reads what has arrived in the meantime. */
  private void checkAfterNextPass() {
    timer = ioThread.executeAfter(this::check, NEXT_PASS_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (!call.isCurrent(attempt)) {
      if (call.takeover().isStandby(attempt)) {
        schedule(CHECK_INTERVAL_MILLIS);
      }
      return;
    }
    long now = context.nowNanos();
    long silentMillis = TimeUnit.NANOSECONDS.toMillis(now - lastDataAtNanos);
    if (responseStarted) {
      checkStream(silentMillis);
    } else {
      checkFirstByte(silentMillis, now);
    }
  }

  private void checkStream(long silentMillis) {
    if (!call.isResumable()) {
      return;
    }
    if (readingPaused) {
      schedule(CHECK_INTERVAL_MILLIS);
      return;
    }
    if (silentMillis >= STALL_TIMEOUT_MILLIS && mayRetry()) {
      call.takeover().begin(attempt, silentMillis);
    }
    schedule(Math.max(CHECK_INTERVAL_MILLIS, STALL_TIMEOUT_MILLIS - silentMillis));
  }

  private void checkFirstByte(long silentMillis, long now) {
    int targetMillis = call.route().targetMillis();
    if (silentMillis >= targetMillis) {
      recordOnTime(false);
      overdue = true;
    }
    boolean conclusive = isPrompt() || onTimeRate.isMostlyOnTime();
    long dueNanos = TimeUnit.MILLISECONDS.toNanos(dueMillis);
    Finding finding =
        conclusive
            ? responseOrder()
                .evaluate(sentAtNanos, dueNanos, TimeUnit.MILLISECONDS.toNanos(targetMillis), now)
            : Finding.NONE;
    if (finding != Finding.NONE && !reported) {
      reported = true;
      reportStuck(finding, silentMillis, now);
    }
    boolean timedOut =
        conclusive && silentMillis >= Math.max(STALL_TIMEOUT_MILLIS, 2L * targetMillis);
    if ((finding == Finding.OVERTAKEN || timedOut) && call.isMovable() && mayRetry()) {
      call.takeover().begin(attempt, silentMillis);
    }
    schedule(CHECK_INTERVAL_MILLIS);
  }

  private void reportStuck(Finding finding, long silentMillis, long now) {
    context.metrics().recordAttempt("stuck");
    boolean skippedNow = responseOrder().recordFinding(finding, now);
    RelayLog.upstreamStuck(call, attempt.upstream().id(), finding, silentMillis, skippedNow);
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
