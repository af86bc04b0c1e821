package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.admission.LoadShedding;
import org.toucansaddle.coordination.admission.LoadShedding.Others;
import org.toucansaddle.coordination.admission.ReadLag;
import org.toucansaddle.coordination.admission.UnreadBudget;
import org.toucansaddle.coordination.zones.ZoneRegions;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.gateway.PlacementMode;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.origin.OriginLookup;
import org.toucansaddle.daemon.internal.gateway.placement.PlacementClient;
import org.toucansaddle.daemon.internal.gateway.routing.ReportedRouters;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.xnio.XnioIoThread;

/** State and settings shared by all requests of a router. Thread-safe. */
public final class RelayContext {

  /** Fraction of the heap for responses that callers have not taken. */
  private static final double MAX_UNREAD_HEAP_FRACTION = 0.1;

  /** Bounds the memory for removed routes; above the number of routes of a configuration. */
  private static final int MAX_TRACKED_ROUTES = 2_000;

  private final RouterState state;
  private final HeaderCodec codec;
  private final AdmissionControl admission;
  private final AccountTally tally = new AccountTally();
  private final UpstreamSelector selector;
  private final RelayMetrics metrics;
  private final RouterSettings settings;
  private final LongSupplier nanoClock;
  private final BooleanSupplier closing;
  private final CallerConnections connections;
  private final IoLag ioLag;
  private final LoadShedding shedding;
  private final ConnectOutcomes connectOutcomes = new ConnectOutcomes();
  private final UnreadBudget unreadBudget =
      new UnreadBudget((long) (MAX_UNREAD_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
  private final OriginLookup originLookup;
  private final PlacementClient placement;
  private final ZoneRegions regions;
  private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();
  private final Map<String, OnTimeRate> onTimeRates = new ConcurrentHashMap<>();
  private final Map<String, FirstTokenEstimator> estimators = new ConcurrentHashMap<>();
  private final Map<String, ServiceThrottle> throttles = new ConcurrentHashMap<>();
  private final Map<String, ReturnSchedule> returnSchedules = new ConcurrentHashMap<>();
  private final Map<XnioIoThread, UpstreamConnectionPool> connectionPools =
      new ConcurrentHashMap<>();

  /**
   * Creates the context of a router.
   *
   * @param nanoClock gives nanoseconds
   * @param closing whether the router shuts down
   * @param connections connections of callers
   * @param ioLag lag of the I/O threads
   * @param originLookup finds where streams began that callers take up again
   * @param placement asks a control daemon where requests go
   * @param regions region of each availability zone
   */
  public RelayContext(
      RouterState state,
      HeaderCodec codec,
      UpstreamSelector selector,
      RelayMetrics metrics,
      RouterSettings settings,
      LongSupplier nanoClock,
      BooleanSupplier closing,
      CallerConnections connections,
      IoLag ioLag,
      OriginLookup originLookup,
      PlacementClient placement,
      ZoneRegions regions) {
    this.state = state;
    this.codec = codec;
    this.admission = new AdmissionControl(state.shares());
    this.selector = selector;
    this.metrics = metrics;
    this.settings = settings;
    this.nanoClock = nanoClock;
    this.closing = closing;
    this.connections = connections;
    this.ioLag = ioLag;
    this.shedding = new LoadShedding(nanoClock, () -> ThreadLocalRandom.current().nextDouble());
    this.originLookup = originLookup;
    this.placement = placement;
    this.regions = regions;
  }

  RouterState state() {
    return state;
  }

  HeaderCodec codec() {
    return codec;
  }

  AdmissionControl admission() {
    return admission;
  }

  /** Returns the tokens of client accounts by what became of the requests. */
  public AccountTally tally() {
    return tally;
  }

  UpstreamSelector selector() {
    return selector;
  }

  RelayMetrics metrics() {
    return metrics;
  }

  long nowNanos() {
    return nanoClock.getAsLong();
  }

  IoLag ioLag() {
    return ioLag;
  }

  /** Returns the other routers that callers of this one may go to. */
  private Others otherRouters() {
    ReportedRouters others = state.reportedRouters();
    return new Others(others.zone(), others.zoneOverloaded());
  }

  /** Returns the delay for the retry of a request that this router cannot read, in milliseconds. */
  long retryAfterMillis(Route route) {
    return RetryAfter.unreadDelayMillis(otherRouters(), route.targetMillis());
  }

  /**
   * Records a request that was read and returns whether it is left to another router, since this
   * one is behind.
   */
  boolean refusesForLag(String account, boolean returned) {
    ReadLag lag = new ReadLag(ioLag.averageMillis(), state.shortestTargetMillis());
    return shedding.refuses(account, returned, lag, otherRouters());
  }

  /** Returns the recent outcomes of opening connections to upstreams. */
  public ConnectOutcomes connectOutcomes() {
    return connectOutcomes;
  }

  /** Returns the bytes of responses that callers have not taken. */
  UnreadBudget unreadBudget() {
    return unreadBudget;
  }

  ZoneRegions regions() {
    return regions;
  }

  OriginLookup originLookup() {
    return originLookup;
  }

  PlacementClient placement() {
    return placement;
  }

  CallerConnections connections() {
    return connections;
  }

  /** Returns whether the connection of a caller is closed after its response. */
  boolean closesConnections() {
    return closing.getAsBoolean() || connections.isFull();
  }

  RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                settings.retryRatio(),
                settings.retrySlack(),
                settings.retryWindowMillis(),
                state::routers,
                nanoClock));
  }

  /** Clears the rates of all routes at the bound, to evict those of removed routes. */
  OnTimeRate onTimeRate(String route) {
    if (onTimeRates.size() > MAX_TRACKED_ROUTES) {
      onTimeRates.clear();
    }
    return onTimeRates.computeIfAbsent(route, name -> new OnTimeRate());
  }

  FirstTokenEstimator estimator(String service) {
    return estimators.computeIfAbsent(service, name -> new FirstTokenEstimator());
  }

  /** Returns the estimator of a service, or one without samples that nobody else uses. */
  FirstTokenEstimator currentEstimator(String service) {
    FirstTokenEstimator current = estimators.get(service);
    return current == null ? new FirstTokenEstimator() : current;
  }

  ServiceThrottle throttle(String service) {
    return throttles.computeIfAbsent(service, name -> new ServiceThrottle(nanoClock));
  }

  ReturnSchedule returnSchedule(String service) {
    return returnSchedules.computeIfAbsent(service, name -> new ReturnSchedule());
  }

  /** Returns a copy of the throttle of a service. */
  ServiceThrottle throttleCopy(String service) {
    ServiceThrottle current = throttles.get(service);
    return current == null ? new ServiceThrottle(nanoClock) : current.copy();
  }

  /** Returns a copy of the return schedule of a service. */
  ReturnSchedule returnScheduleCopy(String service) {
    ReturnSchedule current = returnSchedules.get(service);
    return current == null ? new ReturnSchedule() : current.copy();
  }

  /** Returns whether a control daemon is asked first where requests for engines go. */
  boolean asksForPlacement() {
    return settings.placement() == PlacementMode.GRANTED;
  }

  UpstreamConnectionPool connectionPool(XnioIoThread ioThread) {
    return connectionPools.computeIfAbsent(
        ioThread, t -> new UpstreamConnectionPool(t, connectOutcomes));
  }

  /** Closes the connections to an upstream that carry no request. */
  void closeIdleConnections(String address) {
    connectionPools.forEach((ioThread, pool) -> ioThread.execute(() -> pool.closeIdle(address)));
  }

  /** Closes connections that exceeded their keep-alive time. */
  public void closeExpiredConnections() {
    connectionPools.forEach((ioThread, pool) -> ioThread.execute(pool::closeExpired));
  }
}
