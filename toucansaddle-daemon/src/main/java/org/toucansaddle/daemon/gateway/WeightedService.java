package org.toucansaddle.daemon.gateway;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A service that receives a share of a route's requests. Immutable.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route; 0 for no requests
 */
public record WeightedService(String service, int weight) {

  /**
   * Selects a service at random, in proportion to the weights.
   *
   * @throws IllegalArgumentException if the weights add up to 0
   */
  public static String draw(List<WeightedService> services, RandomGenerator random) {
    int point = random.nextInt(services.stream().mapToInt(WeightedService::weight).sum());
    for (WeightedService candidate : services) {
      point -= candidate.weight();
      if (point < 0) {
        return candidate.service();
      }
    }
    throw new IllegalArgumentException(
        "The weights of the services add up to 0; at least one must be positive.");
  }
}
