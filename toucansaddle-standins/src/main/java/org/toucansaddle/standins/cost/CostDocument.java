package org.toucansaddle.standins.cost;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.ClientAccount;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.GatewaySettings;
import org.toucansaddle.daemon.gateway.HeaderNames;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.ServiceDefinition.EngineCapacity;
import org.toucansaddle.daemon.gateway.WeightedService;

/**
 * The document of a {@link CostGateway}: streams of engines and calls of another service.
 *
 * <p>Stored as the decimal text of its version. Stateless and thread-safe.
 */
final class CostDocument {

  static final String HOST = "h.example";
  static final String ENGINES = "engines";
  static final String DESK = "desk";
  static final int ENGINE_SLOTS = 16;

  /** Enough for the streams, and far too little for the prompts that are refused. */
  private static final long TOKENS_PER_SECOND = 60_000;

  private static final int ACCOUNTS = 12;
  private static final long ENGINE_MEMORY_TOKENS = 90_000;
  private static final int TIMEOUT_MILLIS = 8_000;
  private static final int TARGET_MILLIS = 1_000;
  private static final int GAP_TARGET_MILLIS = 400;
  private static final int MAX_ATTEMPTS = 2;
  private static final int MAX_CONNECTIONS = 100;

  private CostDocument() {}

  /** Returns the key of one of the accounts. */
  static String key(int index) {
    return "key-of-account-" + index % ACCOUNTS;
  }

  static GatewaySettings settings(String name, String peerAddress, List<String> seeds) {
    return new GatewaySettings(
        name, "z1", peerAddress, "secret", seeds, HeaderNames.defaults(), CostDocument::parse);
  }

  static FleetDocument parse(byte[] content) throws DocumentException {
    CallerLimits limits = CallerLimits.defaults();
    List<ClientAccount> accounts =
        IntStream.range(0, ACCOUNTS)
            .mapToObj(i -> new ClientAccount("account-" + i, Set.of(key(i))))
            .toList();
    List<Route> routes =
        List.of(route("stream", Repetition.STREAM, ENGINES), route("call", Repetition.ONCE, DESK));
    return new FleetDocument(
            Long.parseLong(new String(content, StandardCharsets.UTF_8)),
            routes,
            List.of(
                new ServiceDefinition(
                    ENGINES,
                    "/healthz",
                    MAX_CONNECTIONS,
                    Optional.of(new EngineCapacity(ENGINE_SLOTS, ENGINE_MEMORY_TOKENS))),
                new ServiceDefinition(DESK, "/healthz", MAX_CONNECTIONS, Optional.empty())),
            Optional.of(accounts),
            new CallerLimits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis(),
                TOKENS_PER_SECOND))
        .validated();
  }

  private static Route route(String name, Repetition repetition, String service) {
    return new Route(
        name,
        HOST,
        "/" + name + "/",
        repetition,
        TIMEOUT_MILLIS,
        TARGET_MILLIS,
        GAP_TARGET_MILLIS,
        1,
        List.of(new WeightedService(service, 1)),
        MAX_ATTEMPTS,
        false,
        false);
  }
}
