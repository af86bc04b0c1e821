package org.toucansaddle.standins.cost;

import java.util.List;
import java.util.Optional;
import org.toucansaddle.daemon.gateway.GatewayLogging;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.gateway.PlacementMode;
import org.toucansaddle.daemon.gateway.RouterGateway;

/** Runs the router of a {@link CostGateway}. Used by one thread. */
public final class CostRouterMain {

  private CostRouterMain() {}

  /** Starts a router; the arguments are its addresses for callers and peers, then the seeds. */
  public static void main(String[] args) throws Exception {
    GatewayLogging.toStandardOutput();
    List<String> seeds = List.of(args).subList(2, args.length);
    RouterSettings settings =
        new RouterSettings(
            args[0],
            Optional.empty(),
            "/readyz",
            Optional.empty(),
            1,
            1_024,
            6_000,
            0.2,
            50,
            10_000,
            8_000,
            PlacementMode.LOCAL,
            false);
    RouterGateway.start(CostDocument.settings("router", args[1], seeds), settings);
    Thread.currentThread().join();
  }
}
