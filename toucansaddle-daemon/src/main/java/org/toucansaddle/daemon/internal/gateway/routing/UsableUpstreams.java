package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * The upstreams that new requests may be sent to, whatever the request, and why not to the others.
 *
 * <p>Thread-safe; does no I/O.
 */
public final class UsableUpstreams {

  private final UpstreamTable upstreams;
  private final ZonesInService zones;
  private final LongSupplier clock;
  private final long reportTimeoutNanos;
  private final Map<String, Long> lastUpdateBySource = new ConcurrentHashMap<>();

  /** Creates an object that follows no control daemon; {@code clock} returns nanoseconds. */
  UsableUpstreams(
      UpstreamTable upstreams, ZonesInService zones, LongSupplier clock, long reportTimeoutNanos) {
    this.upstreams = upstreams;
    this.zones = zones;
    this.clock = clock;
    this.reportTimeoutNanos = reportTimeoutNanos;
  }

  /** Records an update of a control daemon. */
  void recordUpdate(String source, long nowNanos) {
    lastUpdateBySource.put(source, nowNanos);
  }

  /** Removes a control daemon that is no longer followed. */
  void removeSource(String source) {
    lastUpdateBySource.remove(source);
  }

  /** Returns the upstreams as {@link RouterState#usableUpstreams(String, boolean, Predicate)}. */
  List<Upstream> find(String service, boolean repeatable, Predicate<Upstream> condition) {
    long now = clock.getAsLong();
    long reportedAfter = reportDeadline(now);
    List<Upstream> reached = new ArrayList<>();
    for (Upstream upstream : upstreams.ready(service)) {
      if (obstacle(upstream, now, reportedAfter).isEmpty() && condition.test(upstream)) {
        reached.add(upstream);
      }
    }
    return UpstreamHealth.preferred(reached, repeatable, now);
  }

  /** Returns why an upstream is not used at all; empty if it may be. */
  public Optional<Obstacle> obstacle(Upstream upstream) {
    long now = clock.getAsLong();
    boolean isListed = upstreams.ready(upstream.report().service()).contains(upstream);
    if (!isListed && !upstream.announcesEnd()) {
      return Optional.of(Obstacle.REPLACED);
    }
    return obstacle(upstream, now, reportDeadline(now));
  }

  private Optional<Obstacle> obstacle(Upstream upstream, long now, long reportedAfter) {
    if (!upstream.isUsable(now)) {
      return Optional.of(upstream.announcesEnd() ? Obstacle.LEAVING : Obstacle.UNREACHED);
    }
    if (!upstream.hasReportedAfter(reportedAfter)) {
      return Optional.of(Obstacle.SILENT);
    }
    return zones.isInService(upstream)
        ? Optional.empty()
        : Optional.of(Obstacle.ZONE_OUT_OF_SERVICE);
  }

  /**
   * Returns the time after which an upstream must have reported: the time limit before the latest
   * update of a followed control daemon, or before now if none is followed.
   */
  long reportDeadline(long now) {
    long latestUpdateAt = latestUpdateAt();
    return (latestUpdateAt == 0 ? now : latestUpdateAt) - reportTimeoutNanos;
  }

  private long latestUpdateAt() {
    long latest = 0;
    for (long at : lastUpdateBySource.values()) {
      latest = latest == 0 ? at : Math.max(latest, at);
    }
    return latest;
  }

  /** Returns the time since the latest update of a followed control daemon; -1 without one. */
  public long updateAgeMillis() {
    long latest = latestUpdateAt();
    return latest == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - latest);
  }
}
