package org.toucansaddle.daemon.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucansaddle.coordination.zones.AllowedRegions;

/**
 * Complete, versioned configuration of a gateway: routes, services, client accounts and limits.
 *
 * <pre>{@code
 * FleetDocument document =
 *     new FleetDocument(7, routes, services, Optional.of(accounts), CallerLimits.defaults())
 *         .validated();
 * }</pre>
 *
 * <p>Immutable.
 *
 * @param version version of the document; the highest one takes effect
 * @param routes routes, in any order
 * @param services services that the routes refer to
 * @param accounts client accounts, whose keys requests need on all routes that are not open; an
 *     empty list lets no key in. Empty if requests need no key
 * @param limits limits on callers
 */
public record FleetDocument(
    long version,
    List<Route> routes,
    List<ServiceDefinition> services,
    Optional<List<ClientAccount>> accounts,
    CallerLimits limits) {

  private static final long MAX_VERSION = 1L << 53;

  /** Host and path prefix, which must be unique among the routes. */
  private record RouteKey(String host, String pathPrefix) {}

  /** Copies the lists. */
  public FleetDocument {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    accounts = accounts.map(List::copyOf);
  }

  /** Returns whether requests need the key of a client account on routes that are not open. */
  public boolean requiresKeys() {
    return accounts.isPresent();
  }

  /**
   * Returns this document if it is consistent.
   *
   * @throws DocumentException if it is not
   */
  public FleetDocument validated() throws DocumentException {
    if (version < 1 || version > MAX_VERSION) {
      throw new DocumentException("version " + version + " is not between 1 and 2^53");
    }
    checkRoutes(checkServices());
    checkKeys();
    checkRegions();
    return this;
  }

  private Set<String> checkServices() throws DocumentException {
    Set<String> names = new HashSet<>();
    for (ServiceDefinition service : services) {
      if (service.name().isEmpty() || !names.add(service.name())) {
        throw new DocumentException("service name '" + service.name() + "' is empty or used twice");
      }
    }
    return names;
  }

  private void checkRoutes(Set<String> serviceNames) throws DocumentException {
    Set<RouteKey> keys = new HashSet<>();
    for (Route route : routes) {
      checkRoute(route, serviceNames);
      if (!keys.add(new RouteKey(route.host(), route.pathPrefix()))) {
        throw new DocumentException(
            "two routes share host " + route.host() + " and prefix " + route.pathPrefix());
      }
    }
  }

  private static void checkRoute(Route route, Set<String> serviceNames) throws DocumentException {
    String where = "route '" + route.name() + "': ";
    String prefix = route.pathPrefix();
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new DocumentException(where + "the prefix must begin and end with a slash");
    }
    if (route.timeoutMillis() <= 0) {
      throw new DocumentException(where + "the timeout must be more than 0 ms");
    }
    if (route.maxAttempts() < 1) {
      throw new DocumentException(where + "at least one attempt must be allowed");
    }
    long weights = 0;
    for (WeightedService target : route.services()) {
      if (!serviceNames.contains(target.service())) {
        throw new DocumentException(where + "service '" + target.service() + "' does not exist");
      }
      if (target.weight() < 0) {
        throw new DocumentException(where + "weights must not be negative");
      }
      weights += target.weight();
    }
    if (weights == 0) {
      throw new DocumentException(where + "the weights add up to 0; at least one must be positive");
    }
  }

  private void checkRegions() throws DocumentException {
    for (Route route : routes) {
      checkRegions("route '" + route.name() + "': ", route.regions());
    }
    for (ClientAccount account : accounts.orElse(List.of())) {
      checkRegions("account '" + account.name() + "': ", account.regions());
    }
  }

  private static void checkRegions(String where, AllowedRegions regions) throws DocumentException {
    Set<String> names = regions.names().orElse(Set.of("any"));
    if (names.isEmpty() || names.contains("")) {
      throw new DocumentException(
          where
              + "the list of regions or a name in it is empty, so that nothing may be served;"
              + " name at least one region, or leave out the list to allow all");
    }
  }

  private void checkKeys() throws DocumentException {
    Map<String, String> owners = new HashMap<>();
    for (ClientAccount account : accounts.orElse(List.of())) {
      for (String key : account.keys()) {
        String other = owners.putIfAbsent(key, account.name());
        if (other != null) {
          throw new DocumentException(
              "client accounts '" + other + "' and '" + account.name() + "' share a key");
        }
      }
    }
  }
}
