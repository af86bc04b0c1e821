package org.toucansaddle.daemon.gateway;

/**
 * A service that gets part of a route's requests. Immutable.
 *
 * @param service name of the service
 * @param weight its part, relative to the other services of the route; 0 for none
 */
public record WeightedService(String service, int weight) {}
