package org.toucansaddle.coordination.pacing;

import java.util.concurrent.TimeUnit;

/**
 * Whether one start of an upstream is cold, from its reports and from reasons to doubt them.
 *
 * <pre>{@code
 * WarmUpState state = WarmUpState.coldFor(3_000, now);
 * state.report(0, reportedAt);
 * if (!state.isCold(now)) { ... }
 * }</pre>
 *
 * <p>The newest report decides; an older one changes nothing. After a doubt the upstream counts as
 * cold until a report that was sent after the doubt says otherwise, or, if it has never reported
 * its warm-up, for the time of an unreported one. Times are nanoseconds of one clock. Thread-safe;
 * does no I/O.
 */
public final class WarmUpState {

  /** Time by which a report may seem later than it was sent, since it passes other daemons. */
  private static final long REPORT_SKEW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final long unreportedNanos;
  private long coldUntil;
  private boolean reported;
  private long reportedAt;
  private boolean doubted;
  private long doubtedAt;

  private WarmUpState(long unreportedNanos, long nowNanos) {
    this.unreportedNanos = unreportedNanos;
    this.coldUntil = nowNanos + unreportedNanos;
  }

  /**
   * Returns the state of an upstream that has not reported its warm-up.
   *
   * @param millis time for which it counts as cold, now and after a doubt, in milliseconds
   */
  public static WarmUpState coldFor(long millis, long nowNanos) {
    return new WarmUpState(TimeUnit.MILLISECONDS.toNanos(millis), nowNanos);
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

  /** Returns whether the upstream has to be treated as cold. */
  public synchronized boolean isCold(long nowNanos) {
    boolean inDoubt = doubted && (reported || nowNanos - doubtedAt < unreportedNanos);
    return inDoubt || nowNanos - coldUntil < 0;
  }

  /** Returns the remaining warm-up as reported, in milliseconds; 0 if it is over. */
  public synchronized long remainingMillis(long nowNanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(coldUntil - nowNanos));
  }
}
