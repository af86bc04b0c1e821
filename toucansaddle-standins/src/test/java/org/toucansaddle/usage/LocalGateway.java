package org.toucansaddle.usage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.ClientAccount;
import org.toucansaddle.daemon.gateway.ControlGateway;
import org.toucansaddle.daemon.gateway.ControlGateway.PutOutcome;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.GatewaySettings;
import org.toucansaddle.daemon.gateway.GatewaySettings.ControlSettings;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.gateway.HeaderNames;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.RouterGateway;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.standins.fleet.PortAllocator;

/**
 * A gateway on loopback: five control daemons, of which three are seeds, and two routers.
 *
 * <p>Its documents are the text of their version: each has the same routes. Used by one thread.
 */
final class LocalGateway implements AutoCloseable {

  static final String HOST = "h.example";
  static final String KEY = "key-of-captain";

  private static final int CONTROLS = 5;
  private static final int SEEDS = 3;
  private static final int ROUTERS = 2;
  private static final Duration CALL = Duration.ofSeconds(2);
  private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final PortAllocator ports = new PortAllocator();
  private final Path folder;
  private final DocumentFormat format;
  private final List<String> peers = new ArrayList<>();
  private final List<ControlGateway> controls = new ArrayList<>();
  private final List<RouterGateway> routers = new ArrayList<>();
  private final List<String> callerAddresses = new ArrayList<>();

  LocalGateway() throws IOException {
    this(LocalGateway::read);
  }

  LocalGateway(DocumentFormat format) throws IOException {
    this.format = format;
    folder = Files.createTempDirectory("gateway");
    for (int i = 0; i < CONTROLS; i++) {
      peers.add("127.0.0.1:" + ports.allocate());
    }
    for (int i = 0; i < CONTROLS; i++) {
      controls.add(startControl(i, true));
    }
    for (int i = 0; i < ROUTERS; i++) {
      routers.add(startRouter(i));
    }
  }

  private GatewaySettings settings(String name, String peer) {
    return new GatewaySettings(
        name,
        "z1",
        peer,
        "secret-of-the-test",
        peers.subList(0, SEEDS),
        HeaderNames.defaults(),
        format);
  }

  private ControlGateway startControl(int i, boolean firstStart) throws IOException {
    Path data = folder.resolve("control" + i);
    return ControlGateway.start(
        settings("control" + i, peers.get(i)), new ControlSettings(data, firstStart, CONTROLS));
  }

  private RouterGateway startRouter(int i) throws IOException {
    String callers = "127.0.0.1:" + ports.allocate();
    callerAddresses.add(callers);
    return RouterGateway.start(
        settings("router" + i, "127.0.0.1:" + ports.allocate()),
        new RouterSettings(
            callers,
            Optional.empty(),
            "/readyz",
            Optional.empty(),
            1,
            6_000,
            0.2,
            50,
            10_000,
            8_000));
  }

  private static FleetDocument read(byte[] content) throws DocumentException {
    long version = Long.parseLong(new String(content, StandardCharsets.UTF_8));
    List<Route> routes =
        List.of(
            route("once", Repetition.ONCE, 1, false),
            route("slow", Repetition.ONCE, 1, false),
            route("again", Repetition.REPEATABLE, 2, false),
            route("tell", Repetition.STREAM, 1, false),
            route("stream", Repetition.STREAM, 2, true));
    ServiceDefinition desk = new ServiceDefinition("desk", "/healthz", 100, Optional.empty());
    List<ClientAccount> accounts = List.of(new ClientAccount("captain", Set.of(KEY)));
    return new FleetDocument(version, routes, List.of(desk), accounts, CallerLimits.defaults())
        .validated();
  }

  private static Route route(String name, Repetition repetition, int attempts, boolean resumable) {
    return new Route(
        name,
        HOST,
        "/" + name + "/",
        repetition,
        8_000,
        1_000,
        400,
        1,
        List.of(new WeightedService("desk", 1)),
        attempts,
        false,
        resumable);
  }

  /** Stores a document at a control daemon, trying again until it is accepted. */
  PutOutcome put(int control, long version) throws Exception {
    byte[] content = Long.toString(version).getBytes(StandardCharsets.UTF_8);
    return controls.get(control).put(content, CALL).get();
  }

  /** Returns the version that a control daemon reads; 0 if it cannot tell. */
  long read(int control) throws Exception {
    return controls.get(control).read(CALL).get().map(StoredDocument::version).orElse(0L);
  }

  /** Returns whether all control daemons hold all that is committed. */
  boolean isWhole() {
    return controls.stream().anyMatch(control -> control.inSyncVoters() == CONTROLS);
  }

  /** Tells a control daemon of an upstream. */
  void report(int control, String id, String address, UpstreamReport.State state, long sequence) {
    controls
        .get(control)
        .report(new UpstreamReport(id, "desk", address, "z1", 6, state, 1, sequence));
  }

  /** Starts serving: stores a document and waits until all routers are ready. */
  void open() throws Exception {
    await(() -> isAccepted(0, 7));
    await(() -> routers.stream().allMatch(RouterGateway::isReady));
  }

  private boolean isAccepted(int control, long version) {
    try {
      return put(control, version) == PutOutcome.ACCEPTED;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits until a condition holds. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + WAIT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("The gateway did not get there in time.");
      }
      Thread.sleep(20);
    }
  }

  /** Stops a control daemon and starts it anew with an empty disk. */
  void wipe(int... lost) throws IOException {
    for (int i : lost) {
      controls.get(i).close();
      delete(folder.resolve("control" + i));
    }
    for (int i : lost) {
      controls.set(i, startControl(i, false));
    }
  }

  String callers(int router) {
    return callerAddresses.get(router);
  }

  ControlGateway control(int i) {
    return controls.get(i);
  }

  RouterGateway router(int i) {
    return routers.get(i);
  }

  private static void delete(Path path) throws IOException {
    try (Stream<Path> all = Files.walk(path)) {
      for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
  }

  @Override
  public void close() throws Exception {
    for (RouterGateway router : routers) {
      router.close();
    }
    for (ControlGateway control : controls) {
      control.close();
    }
    delete(folder);
  }
}
