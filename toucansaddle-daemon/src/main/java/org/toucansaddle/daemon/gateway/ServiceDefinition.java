package org.toucansaddle.daemon.gateway;

import java.util.Optional;

/**
 * A service that upstreams announce themselves for. Immutable.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections most connections that one upstream accepts from all routers together
 * @param engine capacity of each upstream, if the service is a model engine
 */
public record ServiceDefinition(
    String name, String healthPath, int maxConnections, Optional<EngineCapacity> engine) {

  /**
   * Capacity of a model engine. Immutable.
   *
   * @param slots requests that run at once
   * @param memoryTokens tokens that its memory holds
   */
  public record EngineCapacity(int slots, long memoryTokens) {}
}
