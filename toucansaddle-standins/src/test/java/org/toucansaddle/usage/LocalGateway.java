package org.toucansaddle.usage;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.toucansaddle.coordination.zones.ZoneRegions;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.ClientAccount;
import org.toucansaddle.daemon.gateway.ControlGateway;
import org.toucansaddle.daemon.gateway.ControlGateway.PutOutcome;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.GatewayAdmin;
import org.toucansaddle.daemon.gateway.GatewaySettings;
import org.toucansaddle.daemon.gateway.GatewaySettings.ControlSettings;
import org.toucansaddle.daemon.gateway.GatewaySettings.OperatorAccess;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.gateway.HeaderNames;
import org.toucansaddle.daemon.gateway.PlacementMode;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.RouterGateway;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.standins.fleet.PortAllocator;

/**
 * Gateway on loopback with five control daemons, of which three are seeds, and two routers or more.
 *
 * <p>In the default format a document is the decimal text of its version, and all versions have the
 * same routes. Used by one thread, but {@link #reportToAll} and {@link #callerAddress} by any;
 * {@link #restartRouter} and restarts of control daemons may overlap.
 */
final class LocalGateway implements AutoCloseable {

  static final String HOST = "h.example";
  static final String API_KEY = "key-of-captain";
  static final String OPERATOR_TOKEN = "token-of-operators";

  /** Target of all routes. */
  static final int TARGET_MILLIS = 1_000;

  static final int CONTROL_COUNT = 5;

  /** Two zones of different regions, which matter only to documents that name regions. */
  private static final ZoneRegions REGIONS = new ZoneRegions(Map.of("za", "east", "zb", "west"));

  private static final int SEED_COUNT = 3;
  private static final int ROUTER_COUNT = 2;
  private static final int MAX_DESCRIPTORS = 4_096;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final long AWAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final PortAllocator ports = new PortAllocator();
  private final Path folder;
  private final DocumentFormat format;
  private final List<String> peerAddresses = new ArrayList<>();
  private final List<ControlGateway> controls = new CopyOnWriteArrayList<>();
  private final List<RouterGateway> routers = new ArrayList<>();
  private final List<String> callerAddresses = new ArrayList<>();
  private final List<String> operatorAddresses = new ArrayList<>();
  private final AtomicInteger requests = new AtomicInteger();
  private boolean controlsOpen = true;

  LocalGateway() throws IOException {
    this(LocalGateway::parseDocument);
  }

  LocalGateway(DocumentFormat format) throws IOException {
    this(format, ROUTER_COUNT);
  }

  LocalGateway(DocumentFormat format, int routerCount) throws IOException {
    this.format = format;
    folder = Files.createTempDirectory("gateway");
    for (int index = 0; index < CONTROL_COUNT; index++) {
      peerAddresses.add("127.0.0.1:" + ports.allocate());
    }
    for (int index = 0; index < CONTROL_COUNT; index++) {
      controls.add(startControl(index, true));
    }
    for (int index = 0; index < routerCount; index++) {
      callerAddresses.add(allocateAddress());
      operatorAddresses.add(allocateAddress());
      routers.add(startRouter(index));
    }
  }

  private GatewaySettings settings(String name, String peerAddress) {
    return settings(name, peerAddress, seeds(), format);
  }

  /** Returns the settings of a daemon that joins a gateway with the given seeds. */
  static GatewaySettings settings(
      String name, String peerAddress, List<String> seeds, DocumentFormat format) {
    return new GatewaySettings(
            name, "z1", peerAddress, "secret-of-the-test", seeds, HeaderNames.defaults(), format)
        .withRegions(REGIONS);
  }

  private ControlGateway startControl(int index, boolean firstStart) throws IOException {
    Path dataFolder = folder.resolve("control" + index);
    return ControlGateway.start(
        settings("control" + index, peerAddresses.get(index)),
        new ControlSettings(dataFolder, firstStart, CONTROL_COUNT));
  }

  private RouterGateway startRouter(int index) throws IOException {
    return RouterGateway.start(
        settings("router" + index, allocateAddress()),
        routerSettings(callerAddresses.get(index), MAX_DESCRIPTORS)
            .withOperators(
                new OperatorAccess(
                    operatorAddresses.get(index), LocalFleet.digest(OPERATOR_TOKEN))));
  }

  /** Returns an unused address on loopback. */
  String allocateAddress() {
    return "127.0.0.1:" + ports.allocate();
  }

  /** Returns the peer addresses of the seeds. */
  List<String> seeds() {
    return peerAddresses.subList(0, SEED_COUNT);
  }

  /** Returns the settings of a router with one I/O thread. */
  static RouterSettings routerSettings(String callerAddress, int maxDescriptors) {
    return new RouterSettings(
        callerAddress,
        Optional.empty(),
        "/readyz",
        Optional.empty(),
        1,
        maxDescriptors,
        6_000,
        0.2,
        50,
        10_000,
        8_000,
        PlacementMode.LOCAL,
        true);
  }

  /** Starts the administration API of a control daemon; the caller has to stop it. */
  Undertow startAdmin(DocumentFormat format, String operatorToken) {
    HttpHandler handler =
        GatewayAdmin.handler(control(2), format, LocalFleet.digest(operatorToken));
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(handler)
            .build();
    server.start();
    return server;
  }

  /** Parses a document in the default format. */
  static FleetDocument parseDocument(byte[] content) throws DocumentException {
    long version = Long.parseLong(new String(content, StandardCharsets.UTF_8));
    List<Route> routes =
        List.of(
            route("once", Repetition.ONCE, 1, false),
            route("slow", Repetition.ONCE, 1, false),
            route("repeatable", Repetition.REPEATABLE, 2, false),
            route("stream-once", Repetition.STREAM, 1, false),
            route("stream", Repetition.STREAM, 2, true));
    return document(version, routes);
  }

  /** Returns a document with routes to the service and the client account of the tests. */
  static FleetDocument document(long version, List<Route> routes) throws DocumentException {
    ServiceDefinition desk = new ServiceDefinition("desk", "/healthz", 100, Optional.empty());
    List<ClientAccount> accounts = List.of(new ClientAccount("captain", Set.of(API_KEY)));
    return new FleetDocument(
            version, routes, List.of(desk), Optional.of(accounts), CallerLimits.defaults())
        .validated();
  }

  private static Route route(
      String name, Repetition repetition, int maxAttempts, boolean resumable) {
    List<WeightedService> services = List.of(new WeightedService("desk", 1));
    return route(name, repetition, maxAttempts, resumable, services);
  }

  /** Returns a route of {@link #HOST} whose path prefix is its name. */
  static Route route(
      String name,
      Repetition repetition,
      int maxAttempts,
      boolean resumable,
      List<WeightedService> services) {
    return new Route(
        name,
        HOST,
        "/" + name + "/",
        repetition,
        8_000,
        TARGET_MILLIS,
        400,
        1,
        services,
        maxAttempts,
        false,
        resumable);
  }

  /** Stores a document through a control daemon and returns the outcome; it does not retry. */
  PutOutcome putDocument(int control, long version) throws Exception {
    byte[] content = Long.toString(version).getBytes(StandardCharsets.UTF_8);
    return controls.get(control).put(content, CALL_TIMEOUT).get();
  }

  /** Returns the document version that a control daemon reads; 0 if it is not confirmed. */
  long readVersion(int control) throws Exception {
    return controls.get(control).read(CALL_TIMEOUT).get().map(StoredDocument::version).orElse(0L);
  }

  /** Returns whether all control daemons hold all committed entries. */
  boolean isFullyReplicated() {
    return controls.stream().anyMatch(control -> control.inSyncVoters() == CONTROL_COUNT);
  }

  /** Sends the report of an upstream to a control daemon. */
  void reportUpstream(
      int control, String id, String address, UpstreamReport.State state, long sequence) {
    controls
        .get(control)
        .report(new UpstreamReport(id, "desk", address, "z1", 6, state, 1, sequence));
  }

  /** Sends the report of an upstream to all control daemons. */
  void reportToAll(UpstreamReport report) {
    controls.forEach(control -> control.report(report));
  }

  /** Stores a document and waits until all routers are ready. */
  void awaitServing() throws Exception {
    await(() -> isAccepted(0, 7));
    await(() -> routers.stream().allMatch(RouterGateway::isReady));
  }

  private boolean isAccepted(int control, long version) {
    try {
      return putDocument(control, version) == PutOutcome.ACCEPTED;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits up to 20 s until a condition holds. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new AssertionError("the condition did not become true within 20 s");
      }
      Thread.sleep(20);
    }
  }

  /** Stops the given control daemons and restarts them with empty disks. */
  void restartWithEmptyDisks(int... indices) throws IOException {
    for (int index : indices) {
      controls.get(index).close();
      deleteRecursively(folder.resolve("control" + index));
    }
    for (int index : indices) {
      controls.set(index, startControl(index, false));
    }
  }

  /** Stops all control daemons; without effect if they are stopped. */
  void closeControls() {
    if (controlsOpen) {
      controlsOpen = false;
      controls.forEach(ControlGateway::close);
    }
  }

  /** Stops all control daemons and starts them again with their disks. */
  void restartControls() throws IOException {
    closeControls();
    for (int index = 0; index < CONTROL_COUNT; index++) {
      controls.set(index, startControl(index, false));
    }
    controlsOpen = true;
  }

  /** Stops a router; it may be restarted. */
  void closeRouter(int index) {
    routers.get(index).close();
  }

  /** Stops a router and starts it again at the same address for callers. */
  void restartRouter(int index) throws IOException {
    routers.get(index).close();
    routers.set(index, startRouter(index));
  }

  /** Returns a request of the client account of the tests, with an id of its own. */
  HttpRequest request(int router, String path) {
    return HttpRequest.post(callerAddress(router), path, "body")
        .withHeader(Headers.HOST_STRING, HOST)
        .withHeader("X-Request-Id", "r" + requests.incrementAndGet())
        .withHeader("X-Api-Key", API_KEY);
  }

  String operatorAddress(int router) {
    return operatorAddresses.get(router);
  }

  String callerAddress(int router) {
    return callerAddresses.get(router);
  }

  ControlGateway control(int index) {
    return controls.get(index);
  }

  RouterGateway router(int index) {
    return routers.get(index);
  }

  private static void deleteRecursively(Path folder) throws IOException {
    try (Stream<Path> paths = Files.walk(folder)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  @Override
  public void close() throws Exception {
    for (RouterGateway router : routers) {
      router.close();
    }
    closeControls();
    deleteRecursively(folder);
  }
}
