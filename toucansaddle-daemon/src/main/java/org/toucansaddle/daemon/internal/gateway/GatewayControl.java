package org.toucansaddle.daemon.internal.gateway;

import io.grpc.ServerServiceDefinition;
import io.grpc.stub.ServerCalls;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.replication.ReplicationSettings;
import org.toucansaddle.coordination.sharing.ReportInterval;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.ControlGateway;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.GatewaySettings;
import org.toucansaddle.daemon.gateway.GatewaySettings.ControlSettings;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.internal.control.ControlReplica;
import org.toucansaddle.daemon.internal.control.PeerReplicaTransport;
import org.toucansaddle.daemon.internal.gateway.control.ColdRates;
import org.toucansaddle.daemon.internal.gateway.control.DocumentStateMachine;
import org.toucansaddle.daemon.internal.gateway.control.DocumentStore;
import org.toucansaddle.daemon.internal.gateway.control.FleetState;
import org.toucansaddle.daemon.internal.gateway.control.FleetStateMachine;
import org.toucansaddle.daemon.internal.gateway.control.FollowServer;
import org.toucansaddle.daemon.internal.gateway.control.FollowSources;
import org.toucansaddle.daemon.internal.gateway.control.SeededReplicaSet;
import org.toucansaddle.daemon.internal.gateway.control.UpstreamRegistry;
import org.toucansaddle.daemon.internal.gateway.control.VersionStore;
import org.toucansaddle.daemon.internal.gateway.origin.OriginTable;
import org.toucansaddle.daemon.internal.gateway.placement.PlacementServer;
import org.toucansaddle.daemon.internal.gateway.quarantine.QuarantineStore;
import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.daemon.internal.gateway.relay.RelayMetrics;
import org.toucansaddle.daemon.internal.gateway.routing.ControlFollower;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.peer.PeerServer;
import org.toucansaddle.protocol.GatewayMethods;
import org.toucansaddle.protocol.PeerMethods;
import org.toucansaddle.protocol.generated.JoinReply;
import org.toucansaddle.protocol.generated.JoinRequest;
import org.toucansaddle.protocol.generated.PeerMessage;

/**
 * Control daemon of a gateway: replicates the configuration document and the orders of zones, and
 * reports them and the upstreams to the routers that follow it. Thread-safe.
 */
public final class GatewayControl implements ControlGateway {

  private static final Logger LOG = LoggerFactory.getLogger(GatewayControl.class);
  private static final Logger DECISIONS = LoggerFactory.getLogger("decision.control");

  private static final int REPLICA_SET_STEP_MILLIS = 100;

  /** Time without a report after which an upstream gets no requests, as at the routers. */
  private static final int UPSTREAM_TIMEOUT_MILLIS = 7_200;

  private static final int PLACEMENT_REFRESH_MILLIS = 100;
  private static final int PLACEMENT_EXPIRY_MILLIS = 20;

  /**
   * With the election timeout, lets a new leader take over within half of the time limit for
   * acknowledging changes.
   */
  private static final int REPLICA_HEARTBEAT_MILLIS = 150;

  private static final int ELECTION_TIMEOUT_MILLIS = 600;

  /** Log entries per snapshot; each holds a whole configuration, so a few of them fill a disk. */
  private static final int SNAPSHOT_ENTRIES = 64;

  private static final String REPLICA_FOLDER = "replica";

  private final DocumentFormat format;
  private final GatewayPeers peers;
  private final UpstreamRegistry registry = new UpstreamRegistry(System::nanoTime);
  private final VersionStore versionStore;
  private final RequestQuarantine quarantine = new RequestQuarantine(System::nanoTime);
  private final OriginTable origins = new OriginTable(System::nanoTime);
  private final RelayMetrics metrics = new RelayMetrics();
  private final ControlReplica replica;
  private final SeededReplicaSet replicaSet;
  private final DocumentStore store;
  private final QuarantineStore quarantineStore;
  private final FollowServer followers;
  private final ControlFollower observer;
  private final PlacementServer placement;
  private final PeerServer server;

  /** Written by the thread of the replica only. */
  private volatile FleetState applied = FleetState.none();

  private volatile Runnable onApplied = () -> {};

  /**
   * Starts a control daemon.
   *
   * @throws IOException if the peer address cannot be bound
   */
  public GatewayControl(GatewaySettings settings, ControlSettings control) throws IOException {
    this.format = settings.format();
    this.peers = new GatewayPeers(settings);
    String self = settings.peerAddress();
    this.versionStore = openVersionStore(control);
    PeerReplicaTransport links = new PeerReplicaTransport(Optional::of, peers.clients());
    this.replica =
        new ControlReplica(
            control.dataFolder().resolve(REPLICA_FOLDER),
            self,
            ReplicationSettings.defaults()
                .withHeartbeatMillis(REPLICA_HEARTBEAT_MILLIS)
                .withElectionTimeoutMillis(ELECTION_TIMEOUT_MILLIS)
                .withSnapshotEntries(SNAPSHOT_ENTRIES),
            new FleetStateMachine(new DocumentStateMachine(this::apply), this::applyZones),
            links);
    links.setReplica(replica);
    this.replicaSet =
        new SeededReplicaSet(
            replica,
            control.firstStart(),
            control.voters(),
            peers::seeds,
            peers.clients(),
            System::nanoTime);
    this.store =
        new DocumentStore(
            self,
            Optional.of(replica),
            () -> applied,
            peers.clients(),
            replicaSet::addresses,
            peers.controlExecutor());
    this.quarantineStore =
        QuarantineStore.open(
            control.dataFolder().resolve("quarantine"), quarantine, System::nanoTime);
    this.followers =
        new FollowServer(
            followSources(self), registry, quarantine, origins, System::nanoTime, settings.zone());
    RouterState observed = new RouterState(format, UPSTREAM_TIMEOUT_MILLIS, System::nanoTime);
    this.observer = createObserver(settings, observed);
    this.placement = new PlacementServer(observed, System::nanoTime);
    this.onApplied = () -> peers.controlExecutor().execute(followers::pushChanges);
    this.server = peers.serve(self, List.of(peerService(links), gatewayService()));
    peers.scheduleRepeatedly(REPLICA_SET_STEP_MILLIS, replicaSet::reconcile);
    ReportSchedule updates =
        new ReportSchedule(
            System::nanoTime,
            followers::routerCount,
            followers::sendHeartbeats,
            followers::sendSums);
    peers.scheduleRepeatedly(ReportInterval.MIN_MILLIS, updates::tick);
    peers.scheduleRepeatedly(ReportInterval.MAX_MILLIS, this::observeFleet);
    peers.scheduleRepeatedly(PLACEMENT_REFRESH_MILLIS, () -> refreshPlacement(observed));
    peers.scheduleRepeatedly(PLACEMENT_EXPIRY_MILLIS, placement::expire);
    versionStore.start();
    registerGauges();
    LOG.info("started: control daemon {} at {}", settings.name(), self);
  }

  /** Must be called before the replica, which leaves its own folder at the first start. */
  private VersionStore openVersionStore(ControlSettings control) {
    boolean isNewFleet =
        control.firstStart() && !Files.exists(control.dataFolder().resolve(REPLICA_FOLDER));
    return VersionStore.open(
        control.dataFolder().resolve("versions"), registry, System::nanoTime, isNewFleet);
  }

  private ControlFollower createObserver(GatewaySettings settings, RouterState observed) {
    return new ControlFollower(
        settings.peerAddress(),
        settings.zone(),
        observed,
        peers.clients(),
        replicaSet::addresses,
        System::nanoTime,
        true);
  }

  private void registerGauges() {
    metrics.registerGauge(
        "toucansaddle_gateway_placement_waiting",
        "Requests that wait for a slot.",
        placement::waitingCount);
    metrics.registerGauge(
        "toucansaddle_gateway_placement_granted",
        "Slots granted and not given back.",
        placement::grantedCount);
    metrics.registerGauge(
        "toucansaddle_gateway_whole_voters", "Voters that hold all.", replicaSet::inSyncVoters);
    metrics.registerGauge(
        "toucansaddle_gateway_followers", "Routers that follow.", followers::routerCount);
    metrics.registerGauge(
        "toucansaddle_gateway_reporting_routers",
        "Routers that follow whose counts are in the sums of this daemon.",
        followers::reportingRouterCount);
    metrics.registerGauge(
        "toucansaddle_gateway_configuration",
        "Version applied.",
        () -> applied.document().version());
    metrics.registerGauge(
        "toucansaddle_gateway_zones_out_of_service",
        "Availability zones out of service, as applied.",
        () -> applied.zones().outOfService().size());
    metrics.registerGauge(
        "toucansaddle_gateway_cold_permits",
        "Requests to cold upstreams permitted since the start.",
        followers::permittedColdRequests);
    metrics.registerGauge(
        "toucansaddle_gateway_origins", "Origins of streams in memory.", origins::size);
  }

  private FollowSources followSources(String self) {
    return new FollowSources(
        () -> applied,
        self,
        replicaSet::addresses,
        new ColdRates(format, () -> applied.document()));
  }

  /** Follows the fleet once a router has asked for slots. */
  private void observeFleet() {
    if (placement.isUsed()) {
      observer.step();
    }
  }

  /** Places by the document that this replica applied, which a quorum has stored. */
  private void refreshPlacement(RouterState observed) {
    observed.applyConfirmed(applied);
    placement.refresh();
  }

  private void apply(StoredDocument document) {
    applied = applied.withDocument(document);
    DECISIONS.info("applied configuration={} bytes={}", document.version(), size(document));
    onApplied.run();
  }

  private void applyZones(ZoneOrders zones) {
    applied = applied.withZones(zones);
    DECISIONS.info(
        "applied zones revision={} out_of_service={}", zones.revision(), zones.outOfService());
    onApplied.run();
  }

  private static int size(StoredDocument document) {
    return document.content().length;
  }

  private static ServerServiceDefinition peerService(PeerReplicaTransport links) {
    return ServerServiceDefinition.builder(PeerMethods.SERVICE)
        .addMethod(
            PeerMethods.LINK,
            PeerServer.linkHandler((from, message) -> receive(links, from, message)))
        .build();
  }

  private ServerServiceDefinition gatewayService() {
    return ServerServiceDefinition.builder(GatewayMethods.SERVICE)
        .addMethod(GatewayMethods.FOLLOW, ServerCalls.asyncBidiStreamingCall(followers::follow))
        .addMethod(GatewayMethods.PLACE, ServerCalls.asyncBidiStreamingCall(placement::place))
        .addMethod(GatewayMethods.PUT_DOCUMENT, PeerServer.unaryHandler(store::putLocally))
        .addMethod(
            GatewayMethods.READ_DOCUMENT, PeerServer.unaryHandler(request -> store.readLocally()))
        .addMethod(GatewayMethods.CHANGE_ZONE, PeerServer.unaryHandler(store::orderLocally))
        .addMethod(GatewayMethods.JOIN, PeerServer.unaryHandler(this::join))
        .addMethod(
            GatewayMethods.FIND_ORIGIN,
            PeerServer.unaryHandler(
                question ->
                    CompletableFuture.completedFuture(
                        versionStore.complete(origins.answer(question)))))
        .build();
  }

  private static void receive(PeerReplicaTransport links, PeerIdentity from, PeerMessage message) {
    if (message.hasReplication()) {
      links.receive(from, message.getReplication());
    }
  }

  private CompletableFuture<JoinReply> join(JoinRequest request) {
    return CompletableFuture.completedFuture(replicaSet.handleJoin(request));
  }

  @Override
  public CompletableFuture<PutOutcome> put(byte[] content, Duration timeout)
      throws DocumentException {
    FleetDocument document = format.read(content);
    return store
        .put(new StoredDocument(document.version(), content), timeout)
        .thenApply(
            outcome -> {
              PutOutcome result =
                  outcome
                      .map(o -> o.accepted() ? PutOutcome.ACCEPTED : PutOutcome.VERSION_TAKEN)
                      .orElse(PutOutcome.UNKNOWN);
              DECISIONS.info(
                  "put configuration={} routes={} outcome={} in_force={} leader={}",
                  document.version(),
                  document.routes().size(),
                  result,
                  outcome.map(o -> o.currentVersion()).orElse(applied.document().version()),
                  replica.status().leader().map(id -> id.name()).orElse("none"));
              return result;
            });
  }

  @Override
  public CompletableFuture<Optional<StoredDocument>> read(Duration timeout) {
    return store.read(timeout);
  }

  @Override
  public CompletableFuture<Optional<ZoneOrders>> order(ZoneOrder order, Duration timeout) {
    return store
        .order(order, timeout)
        .thenApply(
            zones -> {
              DECISIONS.info(
                  "zone order zone={} out_of_service={} outcome={} revision={} upstreams_there={}",
                  order.zone(),
                  order.outOfService(),
                  zones
                      .map(after -> after.includes(order) ? "accepted" : "refused")
                      .orElse("unknown"),
                  zones.map(ZoneOrders::revision).orElse(applied.zones().revision()),
                  registry.countInZone(order.zone()));
              return zones;
            });
  }

  @Override
  public CompletableFuture<Optional<ZoneOrders>> zones(Duration timeout) {
    return store.readZones(timeout);
  }

  @Override
  public void report(UpstreamReport report) {
    if (registry.update(report)) {
      DECISIONS.info(
          "upstream {} of service {} at {} is {}, version {}, sequence {}, started {}",
          report.id(),
          report.service(),
          report.address(),
          report.state(),
          report.softwareVersion(),
          report.sequence(),
          report.startedAtMillis());
      followers.pushChanges();
    }
  }

  @Override
  public void deregister(String upstream) {
    registry.deregister(upstream, System.currentTimeMillis());
    DECISIONS.info("upstream {} left", upstream);
    followers.pushChanges();
  }

  @Override
  public int inSyncVoters() {
    return replicaSet.inSyncVoters();
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
  public void close() {
    observer.close();
    server.close();
    replica.close();
    quarantineStore.close();
    versionStore.close();
    peers.close();
  }
}
