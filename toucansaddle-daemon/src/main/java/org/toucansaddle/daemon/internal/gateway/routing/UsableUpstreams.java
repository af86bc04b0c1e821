package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
  private final UpdateTimes updateTimes;

  /** Creates an object; {@code clock} returns nanoseconds. */
  UsableUpstreams(
      UpstreamTable upstreams, ZonesInService zones, LongSupplier clock, UpdateTimes updateTimes) {
    this.upstreams = upstreams;
    this.zones = zones;
    this.clock = clock;
    this.updateTimes = updateTimes;
  }

  /** Returns the upstreams as {@link RouterState#usableUpstreams(String, boolean, Predicate)}. */
  List<Upstream> find(String service, boolean repeatable, Predicate<Upstream> condition) {
    long now = clock.getAsLong();
    long reportedAfter = updateTimes.reportDeadline(now);
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
    return obstacle(upstream, now, updateTimes.reportDeadline(now));
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

  /** Returns the time since the latest update of a followed control daemon; -1 without one. */
  public long updateAgeMillis() {
    return updateTimes.ageMillis(clock.getAsLong());
  }
}
