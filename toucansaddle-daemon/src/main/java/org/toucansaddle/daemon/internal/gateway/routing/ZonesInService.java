package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.zones.ZoneOrders;

/**
 * Availability zones out of service, as a router knows them.
 *
 * <p>The revision never falls. Upstreams of a zone that comes back are in doubt before they are in
 * service. Thread-safe.
 */
final class ZonesInService {

  private static final Logger LOG = LoggerFactory.getLogger(ZonesInService.class);

  private final UpstreamTable upstreams;
  private final LongSupplier clock;
  private volatile ZoneOrders orders = ZoneOrders.none();

  ZonesInService(UpstreamTable upstreams, LongSupplier clock) {
    this.upstreams = upstreams;
    this.clock = clock;
  }

  /** Takes over a state, unless one that is as new is known. */
  synchronized void apply(ZoneOrders newer) {
    ZoneOrders before = orders;
    if (newer.revision() <= before.revision()) {
      return;
    }
    long now = clock.getAsLong();
    upstreams.all().stream()
        .filter(upstream -> before.isOutOfService(upstream.report().zone()))
        .forEach(
            upstream -> {
              upstream.warmUp().doubt(now);
              upstream.pace().begin(upstream.report().slots(), now);
            });
    orders = newer;
    LOG.info("zones out of service: {}, revision {}", newer.outOfService(), newer.revision());
  }

  /** Returns whether an upstream may get requests at all. */
  boolean isInService(Upstream upstream) {
    return !orders.isOutOfService(upstream.report().zone());
  }

  ZoneOrders current() {
    return orders;
  }
}
