package org.toucansaddle.daemon.internal.gateway;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.admission.ReadLag;
import org.toucansaddle.coordination.sharing.ReportInterval;
import org.toucansaddle.daemon.gateway.GatewaySettings;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.gateway.PlacementMode;
import org.toucansaddle.daemon.gateway.RouterGateway;
import org.toucansaddle.daemon.internal.IoThreads;
import org.toucansaddle.daemon.internal.PacedTask;
import org.toucansaddle.daemon.internal.gateway.LoadReadiness.ZoneState;
import org.toucansaddle.daemon.internal.gateway.control.DocumentStore;
import org.toucansaddle.daemon.internal.gateway.origin.OriginLookup;
import org.toucansaddle.daemon.internal.gateway.placement.PlacementClient;
import org.toucansaddle.daemon.internal.gateway.relay.CallerConnections;
import org.toucansaddle.daemon.internal.gateway.relay.ConnectOutcomes;
import org.toucansaddle.daemon.internal.gateway.relay.GatewayHandler;
import org.toucansaddle.daemon.internal.gateway.relay.HeaderCodec;
import org.toucansaddle.daemon.internal.gateway.relay.IoLag;
import org.toucansaddle.daemon.internal.gateway.relay.RelayContext;
import org.toucansaddle.daemon.internal.gateway.relay.RelayMetrics;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplainer;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector;
import org.toucansaddle.daemon.internal.gateway.routing.ControlFollower;
import org.toucansaddle.daemon.internal.gateway.routing.ReportedRouters;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.protocol.GatewayMethods;
import org.toucansaddle.protocol.generated.FindOriginReply;
import org.toucansaddle.protocol.generated.FindOriginRequest;
import org.xnio.XnioWorker;

/**
 * Router of a gateway: follows the control daemons and relays callers' requests to upstreams.
 * Thread-safe.
 */
public final class GatewayRouter implements RouterGateway {

  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);

  /** Interval in which the control daemon that places requests is checked. */
  private static final int PLACEMENT_STEP_MILLIS = 200;

  /** Longest time until an origin that is to be known soon is reported. */
  private static final int PROMPT_REPORT_MILLIS = 20;

  private static final int IDLE_SWEEP_MILLIS = 500;

  /**
   * Time for the load balancer to see that a router is not ready: two checks, 1 s apart. Not
   * longer, since requests that come up to then have to end within the rest of the grace period.
   */
  private static final int UNREADY_NOTICE_MILLIS = 2_500;

  private static final int DRAIN_POLL_MILLIS = 50;

  /** Time before the end of the grace period at which remaining requests are aborted. */
  private static final int ABORT_MARGIN_MILLIS = 400;

  /**
   * Fraction of the descriptors for connections of callers. Requests under way need as many for
   * their upstreams, and closed connections keep theirs until the next selection.
   */
  private static final double MAX_CALLER_DESCRIPTOR_FRACTION = 0.4;

  private static final int LOAD_LOG_MILLIS = 1_000;
  private static final int READINESS_MILLIS = 250;

  /** Heap for each caller's connection, for its request and response in part. */
  private static final long HEAP_BYTES_PER_CONNECTION = 64 * 1024;

  /** Lag of the I/O threads from which the load is logged, in milliseconds. */
  private static final int LOGGED_LAG_MILLIS = 100;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MILLI = 1e6;

  private final RouterSettings settings;
  private final GatewayPeers peers;
  private final RouterState state;
  private final ControlFollower follower;
  private final PlacementClient placement;
  private final OriginLookup originLookup;
  private final DocumentStore store;
  private final RelayMetrics metrics = new RelayMetrics();
  private final IoLag ioLag = new IoLag();
  private final CallerConnections connections;
  private final ConnectOutcomes connectOutcomes;
  private final GatewayHandler handler;
  private final XnioWorker worker;
  private final List<PacedHttpListener> listeners = new ArrayList<>();
  private final PacedHttpListener callerListener;
  private final ConnectionLoad connectionLoad;
  private final AtomicBoolean draining = new AtomicBoolean();
  private final LoadReadiness loadReadiness = new LoadReadiness();
  private final IoLagMonitor lagMonitor;
  private volatile boolean refusingConnections;

  /** Refused connections up to the last update of the readiness; control executor only. */
  private long seenRefusals;

  private final AtomicBoolean reportPending = new AtomicBoolean();

  /** Starts a router and its listeners. */
  public GatewayRouter(GatewaySettings settings, RouterSettings router) throws IOException {
    this.settings = router;
    this.peers = new GatewayPeers(settings);
    this.state =
        new RouterState(
            settings.format(), router.reportTimeoutMillis(), System::nanoTime, router.pacing());
    this.follower =
        new ControlFollower(
            settings.name(),
            settings.zone(),
            state,
            peers.clients(),
            peers::seeds,
            System::nanoTime,
            false);
    this.placement = createPlacement(settings);
    this.originLookup = createOriginLookup();
    this.store =
        new DocumentStore(
            settings.peerAddress(),
            Optional.empty(),
            () -> {
              throw new IllegalStateException("A router does not store documents.");
            },
            peers.clients(),
            follower::addresses,
            peers.controlExecutor());
    this.worker = IoThreads.start(router.ioThreads());
    RouterListeners starter = new RouterListeners(worker);
    this.connections =
        new CallerConnections(maxCallerConnections(router.maxDescriptors()), System::nanoTime);
    this.connectionLoad = new ConnectionLoad(listeners, connections.budget());
    RelayContext context =
        new RelayContext(
            state,
            new HeaderCodec(settings.headers()),
            new UpstreamSelector(settings.zone()),
            metrics,
            router,
            System::nanoTime,
            draining::get,
            connections,
            ioLag,
            originLookup,
            placement,
            settings.regions());
    this.connectOutcomes = context.connectOutcomes();
    this.handler = new GatewayHandler(context);
    this.callerListener = startServers(starter, new RouteExplainer(context, settings.name()));
    this.lagMonitor = new IoLagMonitor(ioLag, System::nanoTime, worker);
    state.quarantine().onStrike(this::reportAtOnce);
    state.onLeaving(this::reportAtOnce);
    reportPromptOrigins();
    new InitialRead(store, state, peers.controlExecutor()).start();
    startTasks(context);
    registerGauges();
    startShareLog(context);
    LOG.info("started: router {} for callers at {}", settings.name(), router.callerAddress());
  }

  private void startTasks(RelayContext context) {
    peers.controlExecutor().execute(follower::step);
    ReportSchedule reports =
        new ReportSchedule(System::nanoTime, state::routers, follower::step, follower::stepSums);
    peers.scheduleRepeatedly(ReportInterval.MIN_MILLIS, reports::tick);
    peers.scheduleRepeatedly(PLACEMENT_STEP_MILLIS, placement::step);
    peers.scheduleRepeatedly(IDLE_SWEEP_MILLIS, context::closeExpiredConnections);
    peers.scheduleRepeatedly(IDLE_SWEEP_MILLIS, this::closeIdleCallers);
    peers.scheduleRepeatedly(LOAD_LOG_MILLIS, this::logLoad);
    peers.scheduleRepeatedly(READINESS_MILLIS, this::updateReadiness);
  }

  private void startShareLog(RelayContext context) {
    ShareLog shareLog = new ShareLog(state, context.tally());
    shareLog.register(metrics);
    peers.scheduleRepeatedly(LOAD_LOG_MILLIS, shareLog::log);
  }

  private PlacementClient createPlacement(GatewaySettings gateway) {
    return new PlacementClient(
        gateway.name(),
        gateway.zone(),
        () -> settings.placement() == PlacementMode.GRANTED ? follower.primary() : "",
        (address, replies) -> peers.clients().openStream(address, GatewayMethods.PLACE, replies),
        () -> state.upstreams().all(),
        peers::schedule,
        System::nanoTime);
  }

  private static int maxCallerConnections(int maxDescriptors) {
    long byDescriptors = (long) (maxDescriptors * MAX_CALLER_DESCRIPTOR_FRACTION);
    long byHeap = Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_CONNECTION;
    return (int) Math.min(byDescriptors, byHeap);
  }

  /** Reports at once rather than with the next periodic report. */
  private void reportAtOnce() {
    if (reportPending.compareAndSet(false, true)) {
      peers.execute(
          () -> {
            reportPending.set(false);
            follower.step();
          });
    }
  }

  private void reportPromptOrigins() {
    PacedTask report =
        new PacedTask(follower::step, PROMPT_REPORT_MILLIS, peers::schedule, System::nanoTime);
    state.origins().onPromptRecord(report::request);
  }

  private OriginLookup createOriginLookup() {
    return new OriginLookup(
        state.origins(),
        follower::liveAddresses,
        follower::fleetSize,
        this::askForOrigins,
        peers::schedule,
        this::countOriginLookup);
  }

  private CompletableFuture<FindOriginReply> askForOrigins(
      String address, FindOriginRequest request) {
    Duration timeout = Duration.ofMillis(OriginLookup.TIMEOUT_MILLIS);
    return peers.clients().call(address, GatewayMethods.FIND_ORIGIN, request, timeout);
  }

  private void countOriginLookup(OriginLookup.Outcome outcome) {
    metrics.recordOriginLookup(outcome.name().toLowerCase(Locale.ROOT));
  }

  private void registerGauges() {
    StateGauges.register(metrics, state);
    metrics.registerGauge(
        "toucansaddle_gateway_io_lag_seconds",
        "Average time by which I/O threads are late.",
        () -> ioLag.averageMillis() / MILLIS_PER_SECOND);
    connectionLoad.register(metrics);
    metrics.registerGauge(
        "toucansaddle_gateway_takes_callers",
        "1 unless the router asks for no new callers because it is behind.",
        () -> loadReadiness.takesCallers() ? 1 : 0);
    metrics.registerGauge(
        "toucansaddle_gateway_under_way", "Requests under way.", handler::requestsInFlight);
    metrics.registerGauge(
        "toucansaddle_gateway_origin_lookups_under_way",
        "Lookups that wait for control daemons.",
        originLookup::underWay);
  }

  private void closeIdleCallers() {
    state
        .view()
        .map(view -> view.document().limits().idleTimeoutMillis())
        .ifPresent(
            millis -> connections.closeIdleFor(TimeUnit.MILLISECONDS.toNanos((long) millis)));
  }

  private void updateReadiness() {
    long refused = connectionLoad.refusedCount();
    boolean refusesOverdue = state.isInitialized() && refused > seenRefusals;
    seenRefusals = refused;
    long now = System.nanoTime();
    double lagMillis = ioLag.averageMillis();
    boolean upstreamsSilent = connectOutcomes.mostlyTimeOut(now);
    ReportedRouters others = state.reportedRouters();
    ZoneState zone = new ZoneState(others.zone(), others.zoneBehind(), others.zoneOverloaded());
    ZoneState elsewhere = new ZoneState(others.elsewhere(), 0, others.elsewhereOverloaded());
    boolean fails = refusesOverdue || upstreamsSilent;
    ReadLag lag = new ReadLag(lagMillis, state.shortestTargetMillis());
    long maxWaitNanos = (long) (lag.limitMillis() * NANOS_PER_MILLI);
    callerListener.refuseAfter(maxWaitNanos);
    boolean changed = loadReadiness.update(now, lag, fails, zone, elsewhere);
    state.setLoad(!loadReadiness.takesCallers(), loadReadiness.isOverloaded());
    if (changed) {
      LOG.info(
          "readiness: takes_callers={} zone_gives_way={} io_lag_ms={} refuses={}"
              + " connects_time_out={} routers={}",
          loadReadiness.takesCallers(),
          loadReadiness.zoneGivesWay(),
          Math.round(lagMillis),
          refusesOverdue,
          upstreamsSilent,
          others);
    }
  }

  private void logLoad() {
    connectionLoad.log(state.isInitialized());
    double maxLagMillis = ioLag.drainMaxMillis();
    if (maxLagMillis >= LOGGED_LAG_MILLIS) {
      LOG.info(
          "late: io_lag_ms={} io_lag_max_ms={} caller_connections={} under_way={}",
          Math.round(ioLag.averageMillis()),
          Math.round(maxLagMillis),
          connections.budget().openCount(),
          handler.requestsInFlight());
    }
  }

  /** Starts all listeners and returns that of callers. */
  private PacedHttpListener startServers(RouterListeners starter, RouteExplainer explainer)
      throws IOException {
    HttpHandler readiness =
        Handlers.path().addExactPath(settings.readinessPath(), this::handleReadiness);
    if (settings.metricsAddress().isPresent()) {
      HttpHandler handlesMetrics = exchange -> exchange.getResponseSender().send(metrics());
      listeners.add(starter.listen(settings.metricsAddress().get(), handlesMetrics));
    }
    boolean isCombined = settings.readinessAddress().isEmpty();
    if (!isCombined) {
      listeners.add(starter.listen(settings.readinessAddress().get(), readiness));
    }
    if (settings.operators().isPresent()) {
      listeners.add(starter.listenForOperators(settings.operators().get(), explainer::explain));
    }
    HttpHandler root =
        isCombined
            ? Handlers.path(handler).addExactPath(settings.readinessPath(), this::handleReadiness)
            : handler;
    BooleanSupplier refusesAll = isCombined ? () -> false : this::refusesConnections;
    PacedHttpListener ofCallers =
        starter.listen(settings.callerAddress(), root, connections, refusesAll);
    listeners.add(ofCallers);
    return ofCallers;
  }

  /** Before the first configuration and while it stops, a router can serve no new caller. */
  private boolean refusesConnections() {
    return refusingConnections || !state.isInitialized();
  }

  private void handleReadiness(HttpServerExchange exchange) {
    exchange.setStatusCode(isReady() ? 200 : 503);
    exchange.endExchange();
  }

  @Override
  public boolean isReady() {
    return state.isInitialized() && !draining.get() && loadReadiness.takesCallers();
  }

  @Override
  public void useSeeds(List<String> seeds) {
    peers.useSeeds(seeds);
  }

  @Override
  public String metrics() {
    return metrics.text();
  }

  @Override
  public void shutDown() {
    if (!draining.compareAndSet(false, true)) {
      return;
    }
    long startedAt = System.nanoTime();
    LOG.info("stop: readiness check now fails, {} requests under way", handler.requestsInFlight());
    sleep(UNREADY_NOTICE_MILLIS);
    refusingConnections = true;
    handler.refuseNewRequests();
    long abortAt =
        startedAt + Duration.ofMillis(settings.graceMillis() - ABORT_MARGIN_MILLIS).toNanos();
    while (hasUnansweredCallers() && System.nanoTime() - abortAt < 0) {
      sleep(DRAIN_POLL_MILLIS);
    }
    LOG.info("stop: closing connections, {} requests still under way", handler.requestsInFlight());
    close();
  }

  private boolean hasUnansweredCallers() {
    return connectionLoad.waitingCount() > 0 || handler.requestsInFlight() > 0;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    draining.set(true);
    placement.close();
    follower.close();
    listeners.forEach(PacedHttpListener::close);
    lagMonitor.close();
    worker.shutdownNow();
    peers.close();
  }
}
