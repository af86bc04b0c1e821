package org.toucansaddle.daemon.gateway;

import java.io.IOException;
import java.util.List;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.internal.gateway.GatewayRouter;

/**
 * A router of a gateway: takes callers' requests and relays them to upstreams.
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

  /** Starts a router. */
  static RouterGateway start(GatewaySettings settings, RouterSettings router) throws IOException {
    return new GatewayRouter(settings, router);
  }

  /** Returns whether callers should be sent here. */
  boolean isReady();

  /** Uses other seeds from now on. */
  void useSeeds(List<String> seeds);

  /** Becomes unready, finishes what is under way within the time of grace, and stops. */
  void shutDown();

  /** Returns the metrics in the Prometheus text format. */
  String metrics();

  @Override
  void close();
}
