package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.EngineProfile;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.RoutingView;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * The upstreams that one call may still be sent to.
 *
 * <p>Each upstream is selected at most once for a call. Confined to the call's I/O thread.
 */
final class UpstreamChoice {

  private final RelayContext context;
  private final RequestHead head;
  private final Route route;
  private final RoutingView view;
  private final String service;
  private final Set<String> tried = new HashSet<>();
  private double nominalTokensPerMilli;

  /** Draws one of the route's services. */
  UpstreamChoice(RelayContext context, RequestHead head, Route route, RoutingView view) {
    this.context = context;
    this.head = head;
    this.route = route;
    this.view = view;
    this.service = WeightedService.draw(route.services(), ThreadLocalRandom.current());
  }

  String service() {
    return service;
  }

  /** Returns whether no upstream has been selected. */
  boolean isFirst() {
    return tried.isEmpty();
  }

  /** Returns the prefill speed used by the last selection, in tokens per millisecond. */
  double nominalTokensPerMilli() {
    return nominalTokensPerMilli;
  }

  /** Returns the upstreams that accept requests, whether or not they were tried. */
  List<Upstream> usable() {
    return context.state().usableUpstreams(service, route.isRepeatable());
  }

  /** Selects one of the usable upstreams that was not tried; empty if all are busy. */
  Optional<Selection> select(List<Upstream> usable) {
    EngineProfile profile =
        EngineProfile.of(view, service, usable.size(), context.estimator(service));
    nominalTokensPerMilli = profile.nominalTokensPerMilli();
    return context.selector().select(usable, head, route.targetMillis(), profile, tried);
  }

  /** Records that an upstream is tried, so that it is not selected again. */
  void markTried(Upstream upstream) {
    tried.add(upstream.id());
  }

  /** Engines are not throttled: their admission follows from the expected time. */
  boolean isThrottled(List<Upstream> usable) {
    return isFirst() && head.promptTokens() == 0 && !context.throttle(service).admits(usable);
  }

  /** Returns the number of connections that this router may open to an upstream. */
  int maxConnections() {
    int max = view.service(service).map(ServiceDefinition::maxConnections).orElse(0);
    return max == 0 ? Integer.MAX_VALUE : Math.max(2, max / context.state().routers());
  }
}
