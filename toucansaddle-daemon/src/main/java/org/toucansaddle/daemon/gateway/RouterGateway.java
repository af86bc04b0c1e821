package org.toucansaddle.daemon.gateway;

import java.io.IOException;
import java.util.List;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.internal.gateway.GatewayRouter;

/**
 * Router of a gateway: accepts requests of callers and relays them to upstreams.
 *
 * <pre>{@code
 * try (RouterGateway router = RouterGateway.start(settings, routerSettings)) {
 *   router.awaitStopped();
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public interface RouterGateway extends AutoCloseable {

  /**
   * Starts a router.
   *
   * @throws IOException if an address cannot be bound
   */
  static RouterGateway start(GatewaySettings settings, RouterSettings router) throws IOException {
    return new GatewayRouter(settings, router);
  }

  /** Returns whether load balancers may send callers to this router. */
  boolean isReady();

  /** Replaces the seeds. */
  void useSeeds(List<String> seeds);

  /** Becomes unready, completes running requests within the grace period, and stops. */
  void shutDown();

  /** Returns the metrics in the Prometheus text format. */
  String metrics();

  @Override
  void close();
}
