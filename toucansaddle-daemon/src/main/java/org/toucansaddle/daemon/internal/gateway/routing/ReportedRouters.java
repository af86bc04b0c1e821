package org.toucansaddle.daemon.internal.gateway.routing;

import org.toucansaddle.protocol.generated.FleetUpdate;

/**
 * The other routers of the fleet, as a control daemon reported them. Immutable.
 *
 * @param zone routers in this router's availability zone
 * @param zoneBehind those of them that ask for no new callers
 * @param zoneOverloaded those of them that are behind
 * @param elsewhere routers in other zones
 * @param elsewhereOverloaded those of them that are behind
 */
public record ReportedRouters(
    int zone, int zoneBehind, int zoneOverloaded, int elsewhere, int elsewhereOverloaded) {

  static final ReportedRouters NONE = new ReportedRouters(0, 0, 0, 0, 0);

  static ReportedRouters of(FleetUpdate update) {
    return new ReportedRouters(
        update.getZoneRouters(),
        update.getZoneRoutersBehind(),
        update.getZoneRoutersOverloaded(),
        update.getOtherZoneRouters(),
        update.getOtherZoneRoutersOverloaded());
  }
}
