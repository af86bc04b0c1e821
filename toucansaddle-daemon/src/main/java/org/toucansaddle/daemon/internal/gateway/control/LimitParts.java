package org.toucansaddle.daemon.internal.gateway.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.protocol.generated.ServiceDemand;
import org.toucansaddle.protocol.generated.ServicePart;

/**
 * Divides the limits that upstreams name among the routers, in proportion to their recent requests
 * for the service. A router without requests gets a small part, so that it can start. Immutable and
 * thread-safe.
 */
final class LimitParts {

  /** Part of a router without requests, as a fraction of an equal part. */
  private static final double IDLE_FRACTION = 0.2;

  private final double fractionHere;
  private final int routers;
  private final Map<String, Double> sums = new HashMap<>();

  /**
   * Sums the requests of the routers that report theirs to this control daemon.
   *
   * @param demands the demands of each such router
   * @param allRouters number of routers connected to this daemon; those that report to another one
   *     get their part there
   */
  LimitParts(Collection<List<ServiceDemand>> demands, int allRouters) {
    routers = Math.max(1, demands.size());
    fractionHere = routers / (double) Math.max(routers, allRouters);
    demands.forEach(
        list ->
            list.forEach(
                demand ->
                    sums.merge(demand.getService(), (double) demand.getRequests(), Double::sum)));
  }

  /** Returns the parts of a router that reported these demands. */
  List<ServicePart> of(List<ServiceDemand> demands) {
    Map<String, Double> own = new HashMap<>();
    demands.forEach(d -> own.put(d.getService(), (double) d.getRequests()));
    List<ServicePart> parts = new ArrayList<>();
    sums.forEach(
        (service, sum) -> {
          double idle = IDLE_FRACTION * sum / routers;
          double weight = own.getOrDefault(service, 0.0) + idle;
          double fraction = fractionHere * weight / (sum + routers * idle);
          parts.add(
              ServicePart.newBuilder().setService(service).setFraction((float) fraction).build());
        });
    return parts;
  }
}
