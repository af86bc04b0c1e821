package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * When the followed control daemons sent their last updates, and which upstreams are silent
 * although they did.
 *
 * <p>A silence counts up to the latest update of any daemon, so that a router that stood still, or
 * whose daemons are silent, does not take it for one of the upstreams. Times are nanoseconds of one
 * clock. Thread-safe.
 */
final class UpdateTimes {

  private final long reportTimeoutNanos;
  private final Map<String, Long> lastBySource = new ConcurrentHashMap<>();

  /**
   * Creates an object that knows no control daemon.
   *
   * @param reportTimeoutMillis time without a report after which an upstream is not used
   */
  UpdateTimes(int reportTimeoutMillis) {
    this.reportTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(reportTimeoutMillis);
  }

  /** Records an update of a control daemon. */
  void record(String source, long nowNanos) {
    lastBySource.put(source, nowNanos);
  }

  /** Removes a control daemon that is no longer followed. */
  void forget(String source) {
    lastBySource.remove(source);
  }

  /** Returns the time since the latest update, in milliseconds; -1 without one. */
  long ageMillis(long nowNanos) {
    return lastBySource.isEmpty()
        ? -1
        : TimeUnit.NANOSECONDS.toMillis(nowNanos - latestOr(nowNanos));
  }

  private long latestOr(long none) {
    long latest = 0;
    for (long at : lastBySource.values()) {
      latest = latest == 0 ? at : Math.max(latest, at);
    }
    return latest == 0 ? none : latest;
  }

  /**
   * Returns the time after which an upstream must have reported: the time limit before the latest
   * update of a followed control daemon, or before now if none is followed.
   */
  long reportDeadline(long nowNanos) {
    return latestOr(nowNanos) - reportTimeoutNanos;
  }

  /**
   * Returns whether an upstream that has reported its warm-up has been silent for two thirds of the
   * time limit while a control daemon was not.
   */
  boolean isSilent(Upstream upstream, long nowNanos) {
    long margin = reportTimeoutNanos / 3;
    return !upstream.hasReportedAfter(nowNanos - reportTimeoutNanos + margin)
        && upstream.warmUp().isReported()
        && !lastBySource.isEmpty()
        && !upstream.hasReportedAfter(reportDeadline(nowNanos) + margin);
  }
}
