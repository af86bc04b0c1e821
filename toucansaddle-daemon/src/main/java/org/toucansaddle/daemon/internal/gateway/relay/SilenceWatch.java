package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.Finding;
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
final class SilenceWatch implements AutoCloseable {

  /** Silence in the middle of a stream after which another upstream goes on with it. */
  private static final long STALL_MILLIS = 1_500;

  /** Pause between two looks at a request that is overdue. */
  private static final long STEP_MILLIS = 100;

  /** Least time after which a prompt counts as overdue: chunks of others may stand before it. */
  private static final long LEAST_DUE_MILLIS = 400;

  /** Expected times after which a prompt counts as overdue. */
  private static final double DUE_OF_EXPECTED = 2;

  private final RelayContext context;
  private final RelayedCall call;
  private final CallAttempt attempt;
  private final XnioIoThread thread;
  private final Punctuality punctuality;
  private final long sentAt;
  private final long dueMillis;
  private XnioExecutor.Key timer;
  private long lastByteAt;
  private boolean answered;
  private boolean overdue;
  private boolean counted;

  /**
   * Starts the watch of an attempt that is sent now.
   *
   * @param expectedMillis expected time until the first token of a prompt, in milliseconds
   */
  SilenceWatch(
      RelayContext context,
      RelayedCall call,
      CallAttempt attempt,
      XnioIoThread thread,
      double expectedMillis) {
    this.context = context;
    this.call = call;
    this.attempt = attempt;
    this.thread = thread;
    this.punctuality = context.punctuality(call.route().name());
    this.sentAt = context.now();
    this.lastByteAt = sentAt;
    this.dueMillis =
        isPrompt()
            ? Math.max(LEAST_DUE_MILLIS, Math.round(DUE_OF_EXPECTED * expectedMillis))
            : call.route().targetMillis();
    schedule(dueMillis);
  }

  /** Notes that the upstream began to answer. */
  void answered() {
    if (!answered) {
      answered = true;
      sample(true);
      order().recordAnswer(sentAt, context.now());
    }
  }

  /** Notes that content arrived. */
  void heard() {
    answered();
    lastByteAt = context.now();
  }

  private void sample(boolean inTime) {
    if (!overdue) {
      punctuality.observed(inTime);
    }
  }

  private boolean isPrompt() {
    return call.head().promptTokens() > 0;
  }

  private HangDetector order() {
    return attempt.upstream().hangDetector();
  }

  private void schedule(long millis) {
    timer = thread.executeAfter(this::check, Math.max(1, millis), TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (!call.isCurrent(attempt)) {
      return;
    }
    long now = context.now();
    long silent = TimeUnit.NANOSECONDS.toMillis(now - lastByteAt);
    if (answered) {
      checkStream(silent);
    } else {
      checkFirst(silent, now);
    }
  }

  private void checkStream(long silent) {
    if (!call.isResumable()) {
      return;
    }
    if (silent >= STALL_MILLIS && mayGoOn()) {
      attempt.silent(silent);
    } else {
      schedule(Math.max(STEP_MILLIS, STALL_MILLIS - silent));
    }
  }

  private void checkFirst(long silent, long now) {
    int target = call.route().targetMillis();
    if (silent >= target) {
      sample(false);
      overdue = true;
    }
    boolean tells = isPrompt() || punctuality.isUsual();
    long due = TimeUnit.MILLISECONDS.toNanos(dueMillis);
    Finding finding =
        tells
            ? order().evaluate(sentAt, due, TimeUnit.MILLISECONDS.toNanos(target), now)
            : Finding.NONE;
    if (finding != Finding.NONE && !counted) {
      counted = true;
      report(finding, silent, now);
    }
    boolean tooLong = tells && silent >= Math.max(STALL_MILLIS, 2L * target);
    if ((finding == Finding.OVERTAKEN || tooLong) && call.isMovable() && mayGoOn()) {
      attempt.silent(silent);
    } else {
      schedule(STEP_MILLIS);
    }
  }

  private void report(Finding finding, long silent, long now) {
    context.metrics().attempted("stuck");
    boolean changes = order().recordFinding(finding, now);
    RelayLog.upstreamStuck(call, attempt.upstream().id(), finding, silent, changes);
  }

  private boolean mayGoOn() {
    return call.leftMillis() >= STALL_MILLIS && call.hasAttemptLeft();
  }

  @Override
  public void close() {
    if (timer != null) {
      timer.remove();
    }
  }
}
