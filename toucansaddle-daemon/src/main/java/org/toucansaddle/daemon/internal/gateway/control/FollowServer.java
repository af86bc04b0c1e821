package org.toucansaddle.daemon.internal.gateway.control;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.pacing.ColdPermit;
import org.toucansaddle.coordination.pacing.ColdPermitIssuer;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.internal.gateway.origin.OriginTable;
import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares;
import org.toucansaddle.protocol.generated.AccountUse;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;
import org.toucansaddle.protocol.generated.ServiceDemand;
import org.toucansaddle.protocol.generated.StoredDocumentMessage;
import org.toucansaddle.protocol.generated.UpstreamStart;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * Server of the Follow call: streams the document, upstreams and strikes to the connected routers.
 *
 * <p>Changes that affect requests are sent at once, all others with the next heartbeat. Nothing is
 * sent to a router that does not read its stream; once it reads again, it receives the latest state
 * without the intermediate ones. Thread-safe.
 */
public final class FollowServer {

  private static final Logger LOG = LoggerFactory.getLogger(FollowServer.class);

  /** Time without a report after which a router's stream is closed: six report intervals. */
  private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /**
   * Time after which a document is also sent to routers that requested it from another daemon: two
   * report intervals.
   */
  private static final long DOCUMENT_FALLBACK_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Versions whose times are kept: more than follow each other within the fallback time. */
  private static final int MAX_DOCUMENT_TIMES = 256;

  private final FollowSources sources;
  private final UpstreamRegistry registry;
  private final LongSupplier clock;
  private final String zone;

  /** Times at which this daemon got the latest versions of the document. */
  private final NavigableMap<Long, Long> documentTimes = new ConcurrentSkipListMap<>();

  private volatile StoredDocumentMessage lastEncoded = StoredDocumentMessage.getDefaultInstance();
  private final Set<Follower> followers = ConcurrentHashMap.newKeySet();
  private final RequestQuarantine quarantine;
  private final OriginTable origins;
  private final ColdPermitIssuer permitIssuer;
  private final SumCoverage coverage = new SumCoverage();

  /**
   * Creates a server without followers.
   *
   * @param sources supplies what is replicated
   * @param quarantine strikes of all routers
   * @param origins origins of the streams of all routers
   * @param clock supplies nanoseconds of a monotonic clock
   * @param zone availability zone of this daemon
   */
  public FollowServer(
      FollowSources sources,
      UpstreamRegistry registry,
      RequestQuarantine quarantine,
      OriginTable origins,
      LongSupplier clock,
      String zone) {
    this.sources = sources;
    this.registry = registry;
    this.quarantine = quarantine;
    this.origins = origins;
    this.clock = clock;
    this.zone = zone;
    this.permitIssuer = new ColdPermitIssuer(clock);
  }

  private StoredDocument document() {
    return sources.state().get().document();
  }

  /** Returns the number of requests to cold upstreams that this daemon has permitted. */
  public long permittedColdRequests() {
    return permitIssuer.issuedCount();
  }

  /** Accepts a router's update stream and returns the observer of its reports. */
  public StreamObserver<FollowerReport> follow(StreamObserver<FleetUpdate> updates) {
    Follower follower = new Follower((ServerCallStreamObserver<FleetUpdate>) updates);
    follower.updates.setOnCancelHandler(() -> followers.remove(follower));
    return follower;
  }

  /** Returns the number of connected routers. */
  public int routerCount() {
    return (int) followers.stream().filter(follower -> !follower.observer).count();
  }

  /** Returns the number of connected routers whose newest report has counts to sum. */
  public int reportingRouterCount() {
    return (int) followers.stream().filter(Follower::reportsCounts).count();
  }

  /** Sends pending changes to all routers. */
  public void pushChanges() {
    recordDocumentTime(document().version());
    followers.forEach(Follower::pushChanges);
  }

  private void recordDocumentTime(long version) {
    documentTimes.putIfAbsent(version, clock.getAsLong());
    while (documentTimes.size() > MAX_DOCUMENT_TIMES) {
      documentTimes.pollFirstEntry();
    }
  }

  /** Returns whether a router has been without a version for long enough to be sent the latest. */
  private boolean isOverdue(long routerVersion) {
    Map.Entry<Long, Long> firstMissing = documentTimes.higherEntry(routerVersion);
    return firstMissing != null
        && clock.getAsLong() - firstMissing.getValue() > DOCUMENT_FALLBACK_NANOS;
  }

  /**
   * Closes the streams of silent routers and sends a heartbeat with pending changes to all others.
   */
  public void sendHeartbeats() {
    recordDocumentTime(document().version());
    permitIssuer.updateDaemons(sources.self(), sources.controlAddresses().get());
    long now = clock.getAsLong();
    for (Follower follower : followers) {
      if (now - follower.lastReportNanos > REPORT_TIMEOUT_NANOS) {
        LOG.info("dependency lost: router {} is silent", follower.router);
        follower.close();
      }
    }
    boolean sums = sumsEnoughRouters();
    followers.forEach(follower -> follower.sendHeartbeat(sums));
  }

  /** Sends the sums to the routers that want them, between two heartbeats. */
  public void sendSums() {
    if (sumsEnoughRouters()) {
      followers.stream()
          .filter(follower -> follower.wantsSums)
          .forEach(follower -> follower.sendHeartbeat(true));
    }
  }

  private boolean sumsEnoughRouters() {
    return coverage.isSufficient(reportingRouterCount(), routerCount(), clock.getAsLong());
  }

  private Collection<UpstreamWork> sumWorkOfOthers(Follower excluded) {
    WorkSums sums = new WorkSums();
    long now = clock.getAsLong();
    for (Follower other : followers) {
      if (other != excluded) {
        sums.add(other.work, now - other.lastReportNanos);
      }
    }
    return sums.values();
  }

  private Map<String, AccountUse> sumAccountsOfOthers(Follower excluded) {
    Map<String, AccountUse> sums = new HashMap<>();
    for (Follower other : followers) {
      if (other != excluded) {
        other.accounts.forEach(use -> sums.merge(use.getAccount(), use, FollowServer::add));
      }
    }
    return sums;
  }

  private LimitParts limitParts() {
    return new LimitParts(
        followers.stream()
            .filter(Follower::reportsCounts)
            .map(follower -> follower.demands)
            .toList(),
        routerCount());
  }

  private static AccountUse add(AccountUse a, AccountUse b) {
    return a.toBuilder()
        .setAsked(a.getAsked() + b.getAsked())
        .setAdmitted(a.getAdmitted() + b.getAdmitted())
        .setWork(a.getWork() + b.getWork())
        .setTurnedAway(a.getTurnedAway() + b.getTurnedAway())
        .setRecentlyAsked(AccountShares.recentlyAsked(a) + AccountShares.recentlyAsked(b))
        .build();
  }

  private StoredDocumentMessage encodeOnce(StoredDocument current) {
    StoredDocumentMessage last = lastEncoded;
    if (last.getVersion() != current.version()) {
      last = DocumentCodec.encode(current);
      lastEncoded = last;
    }
    return last;
  }

  /** Stream of one router. */
  private final class Follower implements StreamObserver<FollowerReport> {
    private final ServerCallStreamObserver<FleetUpdate> updates;
    private volatile String router = "?";
    private volatile long lastReportNanos = clock.getAsLong();
    private volatile List<UpstreamWork> work = List.of();
    private volatile List<AccountUse> accounts = List.of();
    private volatile List<ServiceDemand> demands = List.of();
    private volatile String zoneOfRouter = "";
    private volatile boolean behind;
    private volatile boolean overloaded;
    private volatile boolean observer;
    private volatile boolean wantsSums;
    private volatile boolean wantsDocument;
    private volatile long reportNumber;
    private long lastSentChange;
    private long lastSentStrike;

    /** Highest document version that the router reported or was sent. */
    private long routerVersion;

    /** Highest revision of the zones that the router reported or was sent. */
    private long routerZones;

    private boolean initialUpdateSent;
    private boolean closed;

    Follower(ServerCallStreamObserver<FleetUpdate> updates) {
      this.updates = updates;
    }

    @Override
    public void onNext(FollowerReport report) {
      lastReportNanos = clock.getAsLong();
      work = report.getWorkList();
      accounts = report.getAccountsList();
      demands = report.getDemandsList();
      zoneOfRouter = report.getZone();
      behind = report.getBehind();
      overloaded = report.getOverloaded();
      observer = report.getObserver();
      wantsSums = report.getWantsSums();
      wantsDocument = report.getWantsDocument();
      reportNumber = report.getNumber();
      synchronized (this) {
        routerVersion = Math.max(routerVersion, report.getDocumentVersion());
        routerZones = Math.max(routerZones, report.getZonesRevision());
      }
      origins.merge(report.getOriginsList());
      quarantine.mergeSuccesses(report.getSuccessesList());
      boolean leavingAdded = false;
      for (UpstreamStart start : report.getLeavingList()) {
        if (registry.markLeaving(start.getId(), start.getStartedAtMillis())) {
          leavingAdded = true;
          LOG.info("upstream {} leaves, reported by router {}", start.getId(), router);
        }
      }
      boolean strikesAdded = quarantine.merge(report.getStrikesList());
      if (strikesAdded) {
        LOG.info("strikes: {} reported by router {}", report.getStrikesCount(), report.getRouter());
      }
      if (report.getFirst()) {
        router = report.getRouter();
        followers.add(this);
        LOG.info("dependency regained: router {} follows", router);
        pushChanges();
      }
      if (strikesAdded || leavingAdded) {
        FollowServer.this.pushChanges();
      }
      sendPermits(report);
    }

    /** Returns whether this is a router that takes this daemon for the one that sums. */
    private boolean reportsCounts() {
      return wantsSums && !observer;
    }

    /** Answers a report that asks for permits at once, since they do not last. */
    private void sendPermits(FollowerReport report) {
      if (report.getColdAsksCount() == 0) {
        return;
      }
      permitIssuer.updateDaemons(sources.self(), sources.controlAddresses().get());
      List<ColdPermit> permits =
          permitIssuer.issue(
              report.getNumber(),
              ColdPermitCodec.decode(report.getColdAsksList()),
              sources.coldRates());
      if (!permits.isEmpty()) {
        synchronized (this) {
          send(
              FleetUpdate.newBuilder().addAllColdPermits(ColdPermitCodec.encode(permits)),
              document());
        }
      }
    }

    @Override
    public void onError(Throwable failure) {
      followers.remove(this);
    }

    @Override
    public void onCompleted() {
      followers.remove(this);
    }

    synchronized void close() {
      followers.remove(this);
      closed = true;
      updates.onError(Status.UNAVAILABLE.withDescription("silent").asRuntimeException());
    }

    /** Sends pending changes, if any. */
    synchronized void pushChanges() {
      StoredDocument current = document();
      boolean changed =
          isDocumentDue(current)
              || sources.state().get().zones().revision() > routerZones
              || registry.lastChange() > lastSentChange
              || quarantine.lastSpreadChange() > lastSentStrike;
      if (changed || !initialUpdateSent) {
        send(FleetUpdate.newBuilder(), current);
      }
    }

    private boolean isDocumentDue(StoredDocument current) {
      return current.version() > routerVersion && (wantsDocument || isOverdue(routerVersion));
    }

    synchronized void sendHeartbeat(boolean withSums) {
      FleetUpdate.Builder update =
          FleetUpdate.newBuilder()
              .addAllControlAddresses(sources.controlAddresses().get())
              .setRouters(routerCount());
      addZoneState(update);
      if (withSums && wantsSums) {
        update.setSums(true);
        update.addAllWork(sumWorkOfOthers(this));
        update.addAllAccounts(sumAccountsOfOthers(this).values());
        update.addAllParts(limitParts().of(demands));
      }
      send(update, document());
    }

    private void addZoneState(FleetUpdate.Builder update) {
      for (Follower other : followers) {
        if (other != this && !other.observer) {
          int overloadedRouters = other.overloaded ? 1 : 0;
          if (other.zoneOfRouter.equals(zoneOfRouter)) {
            update
                .setZoneRouters(update.getZoneRouters() + 1)
                .setZoneRoutersBehind(update.getZoneRoutersBehind() + (other.behind ? 1 : 0))
                .setZoneRoutersOverloaded(update.getZoneRoutersOverloaded() + overloadedRouters);
          } else {
            update
                .setOtherZoneRouters(update.getOtherZoneRouters() + 1)
                .setOtherZoneRoutersOverloaded(
                    update.getOtherZoneRoutersOverloaded() + overloadedRouters);
          }
        }
      }
    }

    private void addZones(FleetUpdate.Builder update) {
      ZoneOrders zones = sources.state().get().zones();
      if (zones.revision() > routerZones) {
        update.setZones(ZoneOrdersCodec.encode(zones));
        routerZones = zones.revision();
      }
    }

    private void send(FleetUpdate.Builder update, StoredDocument current) {
      if (closed || updates.isCancelled() || !updates.isReady()) {
        return;
      }
      if (isDocumentDue(current)) {
        update.setDocument(encodeOnce(current));
        routerVersion = current.version();
      }
      if (reportNumber > 0) {
        update.setAnsweredReport(reportNumber);
      }
      addZones(update);
      if (!initialUpdateSent) {
        update.addAllControlAddresses(sources.controlAddresses().get()).setZone(zone);
        update.addAllVersions(VersionCodec.encode(registry.versions(), clock.getAsLong()));
      }
      update.setComplete(!initialUpdateSent);
      long change = registry.lastChange();
      long now = clock.getAsLong();
      registry
          .changedAfter(lastSentChange)
          .forEach(
              entry ->
                  update.addUpstreams(
                      UpstreamMessageCodec.encode(entry, registry.isLeaving(entry), now)));
      lastSentChange = change;
      long strike = quarantine.lastChange();
      update.addAllStrikes(quarantine.spreadStrikesAfter(lastSentStrike));
      if (initialUpdateSent) {
        update.addAllSuccesses(quarantine.successesAfter(lastSentStrike));
      }
      lastSentStrike = strike;
      initialUpdateSent = true;
      updates.onNext(update.build());
    }
  }
}
