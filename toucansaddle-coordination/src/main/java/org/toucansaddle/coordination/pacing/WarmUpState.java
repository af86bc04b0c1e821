package org.toucansaddle.coordination.pacing;

import java.util.concurrent.TimeUnit;

/**
 * Whether one start of an upstream is cold, from its reports and from reasons to doubt them.
 *
 * <pre>{@code
 * WarmUpState state = WarmUpState.unreported(now);
 * state.report(new Report(sequence, 0, reportedAt, notBefore));
 * if (!state.isCold(warmUpMillis, now)) { ... }
 * }</pre>
 *
 * <p>The report with the highest sequence decides; an older one changes nothing. After a doubt the
 * upstream counts as cold until a report that was sent after the doubt says otherwise, or, if it
 * has never reported its warm-up, for the time that its service names. An upstream sends a report
 * once the one before was acknowledged, so the second report that was received after the doubt was
 * also sent after it, however long each was on its way to its receiver. Times are nanoseconds of
 * one clock. Thread-safe; does no I/O.
 */
public final class WarmUpState {

  /**
   * What an upstream has reported, and when its first receiver had it.
   *
   * @param sequence sequence number, increasing within one start
   * @param remainingMillis remaining warm-up when the report was sent, in milliseconds; 0 if warm
   * @param receivedAtNanos latest time at which it was received
   * @param notBeforeNanos earliest time at which it was received
   */
  public record Report(
      long sequence, long remainingMillis, long receivedAtNanos, long notBeforeNanos) {}

  private final long startedAt;
  private long coldUntil;
  private boolean reported;
  private long sequence;
  private boolean doubted;

  /** Whether a report was received after the doubt; it may have been sent before. */
  private boolean receivedSinceDoubt;

  private long doubtedAt;

  private WarmUpState(long nowNanos) {
    this.startedAt = nowNanos;
  }

  /** Returns the state of an upstream that starts now and has not reported its warm-up. */
  public static WarmUpState unreported(long nowNanos) {
    return new WarmUpState(nowNanos);
  }

  /** Takes over a report, unless one of its sequence or a higher one is known. */
  public synchronized void report(Report report) {
    if (reported && report.sequence() <= sequence) {
      return;
    }
    reported = true;
    sequence = report.sequence();
    coldUntil = report.receivedAtNanos() + TimeUnit.MILLISECONDS.toNanos(report.remainingMillis());
    if (doubted && report.notBeforeNanos() - doubtedAt > 0) {
      doubted = !receivedSinceDoubt;
      receivedSinceDoubt = true;
    }
  }

  /** Records a reason to suppose that the upstream has turned cold. */
  public synchronized void doubt(long nowNanos) {
    doubted = true;
    doubtedAt = nowNanos;
    receivedSinceDoubt = false;
  }

  /**
   * Returns whether the upstream has to be treated as cold.
   *
   * @param unreportedMillis time for which one that has not reported its warm-up counts as cold,
   *     after its start and after a doubt, in milliseconds
   */
  public synchronized boolean isCold(long unreportedMillis, long nowNanos) {
    if (reported) {
      return doubted || nowNanos - coldUntil < 0;
    }
    long since = doubted ? doubtedAt : startedAt;
    return nowNanos - since < TimeUnit.MILLISECONDS.toNanos(unreportedMillis);
  }

  /** Returns whether the upstream has reported its warm-up. */
  public synchronized boolean isReported() {
    return reported;
  }

  /** Returns the remaining warm-up as reported, in milliseconds; 0 if it is over or unreported. */
  public synchronized long remainingMillis(long nowNanos) {
    return reported ? Math.max(0, TimeUnit.NANOSECONDS.toMillis(coldUntil - nowNanos)) : 0;
  }
}
