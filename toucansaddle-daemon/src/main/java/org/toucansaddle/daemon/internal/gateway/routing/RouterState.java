package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.internal.gateway.control.DocumentCodec;
import org.toucansaddle.daemon.internal.gateway.control.FleetState;
import org.toucansaddle.daemon.internal.gateway.control.UpstreamMessageCodec;
import org.toucansaddle.daemon.internal.gateway.control.ZoneOrdersCodec;
import org.toucansaddle.daemon.internal.gateway.origin.OriginTable;
import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.daemon.internal.gateway.routing.RequestLimit.Notice;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;
import org.toucansaddle.protocol.generated.ServicePart;
import org.toucansaddle.protocol.generated.ServiceVersion;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamStart;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * State of one router, updated by the control daemons that it follows.
 *
 * <p>The version of the configuration never decreases. Thread-safe; requests read immutable views
 * without a lock.
 */
public final class RouterState {

  private static final Logger LOG = LoggerFactory.getLogger(RouterState.class);

  private static final RequestLimit.Part WHOLE_LIMIT = new RequestLimit.Part(1, 1);

  private final DocumentFormat format;
  private final LongSupplier clock;
  private final UpstreamTable upstreams;
  private final WorkReports work;
  private final PacedUpstreams paced;
  private final ColdStart coldStart;
  private final ZonesInService zones;
  private final UsableUpstreams usable;
  private final AccountShares shares;
  private final RequestQuarantine quarantine;
  private final OriginTable origins;
  private final ArrivalRates arrivals;
  private volatile LimitFractions limitFractions = LimitFractions.NONE;

  /**
   * Upstreams that said in a response to this router that they leave; evicted with their reports.
   */
  private final Map<String, Upstream> leavingById = new ConcurrentHashMap<>();

  private volatile Runnable leavingListener = () -> {};
  private final AtomicReference<Optional<RoutingView>> view =
      new AtomicReference<>(Optional.empty());
  private final UpdateTimes updateTimes;
  private volatile boolean confirmed;
  private volatile int routers = 1;
  private volatile ReportedRouters reportedRouters = ReportedRouters.NONE;
  private volatile boolean behind;
  private volatile boolean overloaded;
  private volatile long upstreamsCompleteAt;

  /**
   * Creates the state of a router that has not received any update.
   *
   * @param reportTimeoutMillis time without a report after which an upstream is not used
   * @param clock returns nanoseconds
   */
  public RouterState(DocumentFormat format, int reportTimeoutMillis, LongSupplier clock) {
    this(format, reportTimeoutMillis, clock, false);
  }

  /** Creates the state of a router that may pace upstreams which have started or recovered. */
  public RouterState(
      DocumentFormat format, int reportTimeoutMillis, LongSupplier clock, boolean paces) {
    this.upstreams = new UpstreamTable(paces);
    this.format = format;
    this.clock = clock;
    this.shares = new AccountShares(clock);
    this.quarantine = new RequestQuarantine(clock);
    this.origins = new OriginTable(clock);
    this.arrivals = new ArrivalRates(clock);
    this.updateTimes = new UpdateTimes(reportTimeoutMillis);
    this.coldStart =
        new ColdStart(
            this::view, clock, upstream -> updateTimes.isSilent(upstream, clock.getAsLong()));
    this.paced = new PacedUpstreams(upstreams, this::routers, clock, coldStart::isCold);
    this.work = new WorkReports(upstreams, this::routers, paced);
    this.zones = new ZonesInService(upstreams, clock);
    this.usable = new UsableUpstreams(upstreams, zones, clock, updateTimes);
  }

  /** Returns the configuration in force; empty until a quorum has confirmed one. */
  public Optional<RoutingView> view() {
    return confirmed ? view.get() : Optional.empty();
  }

  /** Returns the version of the configuration at this router; 0 if there is none. */
  public long version() {
    return view.get().map(v -> v.document().version()).orElse(0L);
  }

  /** Returns the table of upstreams. */
  public UpstreamTable upstreams() {
    return upstreams;
  }

  /** Returns the shares of client accounts. */
  public AccountShares shares() {
    return shares;
  }

  /** Returns the quarantine of requests that crash upstreams. */
  public RequestQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the origins of the streams that this router began. */
  public OriginTable origins() {
    return origins;
  }

  /** Returns the recent requests of callers at this router. */
  public ArrivalRates arrivals() {
    return arrivals;
  }

  /** Returns what keeps requests from cold upstreams. */
  public ColdStart coldStart() {
    return coldStart;
  }

  /**
   * Returns whether a request may be sent to an upstream at this moment, which may have turned cold
   * or gone out of service since it was selected.
   *
   * @param reservedUntil result of {@link ColdStart#reserve}
   */
  public boolean beginRequest(Upstream upstream, OptionalLong reservedUntil) {
    return zones.isInService(upstream) && coldStart.beginRequest(upstream, reservedUntil);
  }

  /** Returns what keeps upstreams that have started or recovered at their pace. */
  public PacedUpstreams paced() {
    return paced;
  }

  /** Returns the number of upstreams that have to be spared since they are cold. */
  public int coldUpstreams() {
    return (int) upstreams.all().stream().filter(coldStart::isCold).count();
  }

  /** Returns this router's part in the limits that upstreams of a service name. */
  public RequestLimit.Part limitPart(String service) {
    int sharing = routers;
    return new RequestLimit.Part(
        limitFractions.find(service, clock.getAsLong()).orElse(1.0 / sharing), sharing);
  }

  /**
   * Returns what the upstreams of a service process, in tokens a second, as far as the limits that
   * they name allow it for requests of the mean size.
   *
   * @param nominal what they process without limits
   */
  public double tokensPerSecond(String service, double nominal) {
    return tokensPerSecond(service, nominal, shares);
  }

  /** Returns the same with the mean size of requests by a copy of the shares. */
  public double tokensPerSecond(String service, double nominal, AccountShares shares) {
    List<Upstream> ready = upstreams.ready(service);
    if (ready.stream().noneMatch(upstream -> upstream.limit().isNamed())) {
      return nominal;
    }
    double meanTokens = shares.meanWorkTokens();
    double nominalEach = nominal / ready.size();
    return meanTokens == 0
        ? nominal
        : ready.stream()
            .mapToDouble(
                upstream ->
                    Math.min(
                        nominalEach, upstream.limit().requestsPerSecond(WHOLE_LIMIT) * meanTokens))
            .sum();
  }

  /** Replaces this router's parts in limits by those that a control daemon computed. */
  public void updateLimitParts(List<ServicePart> parts) {
    limitFractions = LimitFractions.of(parts, clock.getAsLong());
  }

  /** Returns the last reported number of routers; at least 1. */
  public int routers() {
    return routers;
  }

  /** Returns the shortest target of all routes, in milliseconds; no limit without routes. */
  public int shortestTargetMillis() {
    return view.get().map(RoutingView::shortestTargetMillis).orElse(Integer.MAX_VALUE);
  }

  /** Returns the other routers of the fleet, as last reported. */
  public ReportedRouters reportedRouters() {
    return reportedRouters;
  }

  /** Sets whether this router asks for no new callers, and whether it is behind. */
  public void setLoad(boolean asksForNoCallers, boolean isOverloaded) {
    behind = asksForNoCallers;
    overloaded = isOverloaded;
  }

  /** Returns whether a confirmed configuration and a complete list of upstreams were received. */
  public boolean isInitialized() {
    return confirmed && view.get().isPresent() && upstreamsCompleteAt != 0;
  }

  /**
   * Returns the software versions of the upstreams of a service that reported within the last
   * minute, in any state. The version of upstreams that reported none is empty.
   */
  public Set<String> softwareVersions(String service) {
    return upstreams.softwareVersions(service);
  }

  /**
   * Returns the upstreams of a service that a new request may be sent to.
   *
   * <p>Paused upstreams and, for requests that are not repeatable, those on probation are left out
   * as long as at least half of the upstreams remain.
   *
   * @param repeatable whether the request may be repeated at another upstream if this one hangs
   */
  public List<Upstream> usableUpstreams(String service, boolean repeatable) {
    return usableUpstreams(service, repeatable, upstream -> true);
  }

  /**
   * Returns those of {@link #usableUpstreams(String, boolean)} that also meet a condition. Those
   * that do not are not counted when paused ones are left out.
   */
  public List<Upstream> usableUpstreams(
      String service, boolean repeatable, Predicate<Upstream> condition) {
    return usable.find(service, repeatable, condition);
  }

  /** Returns which upstreams may be used, and why the others may not. */
  public UsableUpstreams usable() {
    return usable;
  }

  /** Records that an upstream refused a connection: unless it announced its end, it crashed. */
  public void recordRefusedConnection(Upstream upstream) {
    if (!upstream.announcesEnd()) {
      quarantine.recordCrash(upstream.incarnation(), upstream.lastReportAtNanos());
    }
  }

  /**
   * Records crashes of upstreams that may have run a request which is no longer awaited, and that
   * have fallen silent or been replaced without announcing their end.
   */
  private void findCrashes() {
    long reportedAfter = updateTimes.reportDeadline(clock.getAsLong());
    for (String incarnation : quarantine.upstreamsOfAbandoned()) {
      upstreams
          .find(incarnation)
          .filter(u -> !u.announcesEnd())
          .filter(u -> !u.hasReportedAfter(reportedAfter) || upstreams.isReplaced(u))
          .ifPresent(u -> quarantine.recordCrash(incarnation, u.lastReportAtNanos()));
    }
  }

  /** Applies a state that a quorum confirmed as the newest. */
  public void applyConfirmed(FleetState state) {
    zones.apply(state.zones());
    applyIfNewer(state.document());
    confirmed = true;
  }

  /** Returns the zones out of service. */
  public ZoneOrders zonesOutOfService() {
    return zones.current();
  }

  /** Applies a document if its version is higher and it can be read. */
  public synchronized void applyIfNewer(StoredDocument document) {
    if (document.version() <= version()) {
      return;
    }
    try {
      FleetDocument parsed = format.read(document.content());
      view.set(Optional.of(new RoutingView(parsed)));
      LOG.info("configuration {} in force, {} routes", parsed.version(), parsed.routes().size());
    } catch (DocumentException e) {
      LOG.error(
          "configuration {} cannot be read and is ignored: {}", document.version(), e.getMessage());
    }
  }

  /** Applies an update of a control daemon. */
  public void update(String source, FleetUpdate update) {
    long now = clock.getAsLong();
    updateTimes.record(source, now);
    if (update.hasZones()) {
      zones.apply(ZoneOrdersCodec.decode(update.getZones()));
    }
    if (update.hasDocument()) {
      applyIfNewer(DocumentCodec.decode(update.getDocument()));
    }
    for (ServiceVersion version : update.getVersionsList()) {
      long reportedAt = now - TimeUnit.MILLISECONDS.toNanos(version.getAgeMillis());
      upstreams.recordVersion(version.getService(), version.getSoftwareVersion(), reportedAt);
    }
    quarantine.mergeSuccesses(update.getSuccessesList());
    quarantine.merge(update.getStrikesList());
    for (UpstreamMessage message : update.getUpstreamsList()) {
      long reportedAt = now - TimeUnit.MILLISECONDS.toNanos(message.getAgeMillis());
      UpstreamReport report = UpstreamMessageCodec.decode(message);
      long notBefore = coldStart.notBefore(update, message.getAgeMillis(), now);
      if (upstreams.accept(report, reportedAt, notBefore)) {
        LOG.info(
            "upstream {} of service {} at {} is {}, version {}, sequence {}, reported {} ms ago to"
                + " {}",
            report.id(),
            report.service(),
            report.address(),
            report.state(),
            report.softwareVersion(),
            report.sequence(),
            message.getAgeMillis(),
            source);
      }
    }
    update.getUpstreamsList().stream()
        .filter(UpstreamMessage::getLeaving)
        .forEach(message -> upstreams.markLeaving(message.getId(), message.getStartedAtMillis()));
    if (update.getComplete()) {
      upstreamsCompleteAt = now;
      upstreams.paceNewStarts();
    }
    if (update.getRouters() > 0) {
      routers = update.getRouters();
      reportedRouters = ReportedRouters.of(update);
    }
    coldStart.receive(update);
    upstreams.evictSilent(now);
    leavingById.values().removeIf(upstream -> !upstreams.contains(upstream));
  }

  /** Replaces the load of the other routers at the upstreams. */
  public void updateRemoteWork(List<UpstreamWork> works) {
    work.mergeRemote(works, clock.getAsLong());
  }

  /** Takes over what an upstream said in a response to this router. */
  public void recordLimit(Upstream upstream, OptionalDouble requestsPerSecond) {
    WorkReports.recordLimit(
        upstream, new Notice(requestsPerSecond, clock.getAsLong()), "a response");
  }

  /** Records that an upstream said in a response to this router that it leaves. */
  public boolean recordLeaving(Upstream upstream) {
    boolean isNew = upstream.markLeaving();
    if (isNew) {
      leavingById.put(upstream.id(), upstream);
      LOG.info("upstream {} leaves, known from a response", upstream.id());
      leavingListener.run();
    }
    return isNew;
  }

  /** Sets an action that runs when a response is the first to say that an upstream leaves. */
  public void onLeaving(Runnable listener) {
    leavingListener = listener;
  }

  /** Records that an upstream wants no requests of this router for a time. */
  public void recordPause(Upstream upstream, long millis) {
    long now = clock.getAsLong();
    if (upstream.requestedPause().begin(millis, now)) {
      LOG.info(
          "upstream {} asks for a pause of {} ms, is paused for {} ms",
          upstream.id(),
          millis,
          upstream.requestedPause().remainingMillis(now));
    }
  }

  /** Returns the number of upstreams that are paused since they asked for it. */
  public int pausedUpstreams() {
    long now = clock.getAsLong();
    return (int) upstreams.all().stream().filter(u -> u.requestedPause().isActive(now)).count();
  }

  /** Returns the number of known upstreams that said in a response that they leave. */
  public int leavingUpstreams() {
    return (int) upstreams.all().stream().filter(Upstream::isLeaving).count();
  }

  /** Returns the number of known upstreams whose newest response named a limit. */
  public int limitedUpstreams() {
    return (int) upstreams.all().stream().filter(upstream -> upstream.limit().isNamed()).count();
  }

  /** Returns the number of upstreams that have reported their load in a response lately. */
  public int loadReportingUpstreams() {
    long now = clock.getAsLong();
    return (int)
        upstreams.all().stream().filter(u -> u.condition().loadReport(now).isPresent()).count();
  }

  /** Removes a control daemon that this router no longer follows. */
  public void removeControlDaemon(String source) {
    updateTimes.forget(source);
  }

  /** Creates the report of this router to the control daemons. */
  public FollowerReport.Builder createReport() {
    findCrashes();
    FollowerReport.Builder report =
        FollowerReport.newBuilder()
            .setDocumentVersion(version())
            .setZonesRevision(zones.current().revision())
            .setBehind(behind)
            .setOverloaded(overloaded)
            .addAllAccounts(shares.localUsage())
            .addAllDemands(arrivals.demands());
    for (Upstream upstream : leavingById.values()) {
      report.addLeaving(
          UpstreamStart.newBuilder()
              .setId(upstream.id())
              .setStartedAtMillis(upstream.startedAtMillis()));
    }
    coldStart.addTo(report);
    return report.addAllWork(work.local(clock.getAsLong()));
  }
}
