package org.toucansaddle.coordination.pacing;

import java.util.concurrent.TimeUnit;

/**
 * Whether one start of an upstream is cold, from its reports and from reasons to doubt them.
 *
 * <pre>{@code
 * WarmUpState state = WarmUpState.unreported(now);
 * state.report(0, reportedAt);
 * if (!state.isCold(warmUpMillis, now)) { ... }
 * }</pre>
 *
 * <p>The newest report decides; an older one changes nothing. After a doubt the upstream counts as
 * cold until a report that was sent after the doubt says otherwise, or, if it has never reported
 * its warm-up, for the time that its service names. Times are nanoseconds of one clock.
 * Thread-safe; does no I/O.
 */
public final class WarmUpState {

  /** Time by which a report may seem later than it was sent, since it passes other daemons. */
  private static final long REPORT_SKEW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final long startedAt;
  private long coldUntil;
  private boolean reported;
  private long reportedAt;
  private boolean doubted;
  private long doubtedAt;

  private WarmUpState(long nowNanos) {
    this.startedAt = nowNanos;
  }

  /** Returns the state of an upstream that starts now and has not reported its warm-up. */
  public static WarmUpState unreported(long nowNanos) {
    return new WarmUpState(nowNanos);
  }

  /**
   * Takes over a report.
   *
   * @param remainingMillis remaining warm-up when the report was sent, in milliseconds; 0 if warm
   */
  public synchronized void report(long remainingMillis, long reportedAtNanos) {
    if (reported && reportedAtNanos - reportedAt < 0) {
      return;
    }
    reported = true;
    reportedAt = reportedAtNanos;
    coldUntil = reportedAtNanos + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
    if (doubted && reportedAtNanos - doubtedAt > REPORT_SKEW_NANOS) {
      doubted = false;
    }
  }

  /** Records a reason to suppose that the upstream has turned cold. */
  public synchronized void doubt(long nowNanos) {
    doubted = true;
    doubtedAt = nowNanos;
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

  /** Returns the remaining warm-up as reported, in milliseconds; 0 if it is over or unreported. */
  public synchronized long remainingMillis(long nowNanos) {
    return reported ? Math.max(0, TimeUnit.NANOSECONDS.toMillis(coldUntil - nowNanos)) : 0;
  }
}
