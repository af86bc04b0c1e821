package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucansaddle.coordination.zones.AllowedRegions;
import org.toucansaddle.daemon.gateway.ClientAccount;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.ServiceDefinition;

/** One version of the configuration with its lookup tables. Immutable and thread-safe. */
public final class RoutingView {

  private final FleetDocument document;
  private final RouteTable routes;
  private final int shortestTargetMillis;
  private final Map<String, String> accountByKey = new HashMap<>();
  private final Map<String, AllowedRegions> regionsByAccount = new HashMap<>();
  private final Map<String, ServiceDefinition> services = new HashMap<>();

  /** Creates the view of a document. */
  public RoutingView(FleetDocument document) {
    this.document = document;
    this.routes = new RouteTable(document.routes());
    this.shortestTargetMillis =
        document.routes().stream().mapToInt(Route::targetMillis).min().orElse(Integer.MAX_VALUE);
    for (ClientAccount account : document.accounts().orElse(List.of())) {
      account.keys().forEach(key -> accountByKey.put(key, account.name()));
      regionsByAccount.put(account.name(), account.regions());
    }
    document.services().forEach(service -> services.put(service.name(), service));
  }

  /** Returns the document. */
  public FleetDocument document() {
    return document;
  }

  /** Returns the routes. */
  public RouteTable routes() {
    return routes;
  }

  /** Returns the name of the client account that a key belongs to. */
  public Optional<String> account(String key) {
    return Optional.ofNullable(accountByKey.get(key));
  }

  /** Returns the regions in which requests of an account on a route may be served. */
  public AllowedRegions regions(Route route, String account) {
    return route.regions().and(regionsByAccount.getOrDefault(account, AllowedRegions.any()));
  }

  /** Returns the service of a name. */
  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the capacity of all engines in tokens per second; 0 if not known. */
  public long tokensPerSecond() {
    return document.limits().tokensPerSecond();
  }

  /** Returns the shortest target of all routes, in milliseconds; no limit without routes. */
  public int shortestTargetMillis() {
    return shortestTargetMillis;
  }
}
