package org.toucansaddle.daemon.gateway;

import java.util.Optional;

/**
 * A service that upstreams register for. Immutable.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections of all routers to one upstream
 * @param engine capacity of each upstream if the service is a model engine
 * @param warmUp what its upstreams take while they are cold; empty if they are never cold
 */
public record ServiceDefinition(
    String name,
    String healthPath,
    int maxConnections,
    Optional<EngineCapacity> engine,
    Optional<WarmUp> warmUp) {

  /** Creates a definition of a service whose upstreams are never cold. */
  public ServiceDefinition(
      String name, String healthPath, int maxConnections, Optional<EngineCapacity> engine) {
    this(name, healthPath, maxConnections, engine, Optional.empty());
  }

  /**
   * What an upstream takes while it is cold. Immutable.
   *
   * @param millis time for which it is cold after its start, in milliseconds
   * @param requestsPerSecond requests a second that it takes from all routers together
   */
  public record WarmUp(int millis, double requestsPerSecond) {}

  /**
   * Capacity of a model engine. Immutable.
   *
   * @param slots maximum number of concurrent requests
   * @param memoryTokens memory capacity, in tokens
   */
  public record EngineCapacity(int slots, long memoryTokens) {}
}
