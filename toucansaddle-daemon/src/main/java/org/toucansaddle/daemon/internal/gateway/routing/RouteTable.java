package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucansaddle.daemon.gateway.Route;

/** Finds the route of a request by host and longest path prefix. Immutable and thread-safe. */
public final class RouteTable {

  private final Map<String, Map<String, Route>> byHost = new HashMap<>();

  /** Creates a table; of several routes with the same host and prefix the last one is used. */
  public RouteTable(List<Route> routes) {
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.pathPrefix(), route);
    }
  }

  /**
   * Returns the route of a request.
   *
   * @param host host name in lower case, without a port
   * @param path path of the request, not decoded
   */
  public Optional<Route> find(String host, String path) {
    Map<String, Route> prefixes = byHost.get(host);
    if (prefixes == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = prefixes.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
      if (end == 0) {
        break;
      }
    }
    return Optional.empty();
  }
}
