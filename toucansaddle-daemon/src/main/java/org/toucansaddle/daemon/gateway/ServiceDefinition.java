package org.toucansaddle.daemon.gateway;

import java.util.Optional;

/**
 * A service that upstreams register for. Immutable.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections of all routers to one upstream
 * @param engine capacity of each upstream if the service is a model engine
 */
public record ServiceDefinition(
    String name, String healthPath, int maxConnections, Optional<EngineCapacity> engine) {

  /**
   * Capacity of a model engine. Immutable.
   *
   * @param slots maximum number of concurrent requests
   * @param memoryTokens memory capacity, in tokens
   */
  public record EngineCapacity(int slots, long memoryTokens) {}
}
