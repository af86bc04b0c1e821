package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.internal.gateway.routing.PacedUpstreams;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * Whether one attempt kept the pace that is expected of its upstream. One that answers and breaks
 * later counts as both; one that is given up early counts as neither. An answer counts only if the
 * upstream was warm since the request was sent; a failure always does. Confined to the call's I/O
 * thread.
 */
final class PaceSample {

  /** Multiple of the expected time after which a first token is late. */
  private static final double LATE_TO_EXPECTED_RATIO = 2;

  private final PacedUpstreams paced;
  private final Upstream upstream;
  private final double dueMillis;
  private final long sentAtNanos;
  private boolean answered;
  private boolean behind;

  /**
   * Begins a sample with a request that is sent now.
   *
   * @param expectedMillis expected time to the first token, in milliseconds
   * @param targetMillis target of the route; an answer within it is not late
   */
  PaceSample(
      PacedUpstreams paced,
      Upstream upstream,
      double expectedMillis,
      int targetMillis,
      long nowNanos) {
    this.paced = paced;
    this.upstream = upstream;
    this.dueMillis = Math.max(targetMillis, LATE_TO_EXPECTED_RATIO * expectedMillis);
    this.sentAtNanos = nowNanos;
    paced.recordSent(upstream, nowNanos);
  }

  /** Records data; the first token counts, which this router may have read late. */
  void onData(double lagMillis, long nowNanos) {
    if (answered) {
      return;
    }
    if (isLate(lagMillis, nowNanos)) {
      onLate(nowNanos);
    } else if (!behind && isEvidence()) {
      paced.recordKept(upstream);
    }
    answered = true;
  }

  /** Records that the request was rejected. */
  void onRejected(long nowNanos) {
    if (isEvidence()) {
      onFailure(nowNanos);
    }
  }

  /** Records that the response broke. */
  void onFailure(long nowNanos) {
    if (!behind) {
      behind = true;
      upstream.pace().recordFailed(sentAtNanos, nowNanos);
    }
  }

  /** Records that the response is no longer awaited. */
  void onAbandoned(double lagMillis, long nowNanos) {
    if (!answered && isLate(lagMillis, nowNanos)) {
      onLate(nowNanos);
    }
  }

  private void onLate(long nowNanos) {
    if (!behind && isEvidence()) {
      behind = true;
      upstream.pace().recordLate(sentAtNanos, nowNanos);
    }
  }

  private boolean isEvidence() {
    return paced.isEvidence(upstream, sentAtNanos);
  }

  private boolean isLate(double lagMillis, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - sentAtNanos) - lagMillis > dueMillis;
  }
}
