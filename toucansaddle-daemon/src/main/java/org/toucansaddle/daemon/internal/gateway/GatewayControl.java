package org.toucansaddle.daemon.internal.gateway;

import io.grpc.ServerServiceDefinition;
import io.grpc.stub.ServerCalls;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.replication.ReplicationSettings;
import org.toucansaddle.daemon.gateway.ControlGateway;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.GatewaySettings;
import org.toucansaddle.daemon.gateway.GatewaySettings.ControlSettings;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.internal.control.ControlReplica;
import org.toucansaddle.daemon.internal.control.ReplicaLinks;
import org.toucansaddle.daemon.internal.gateway.control.DocumentStateMachine;
import org.toucansaddle.daemon.internal.gateway.control.DocumentStore;
import org.toucansaddle.daemon.internal.gateway.control.FollowServer;
import org.toucansaddle.daemon.internal.gateway.control.SeededReplicaSet;
import org.toucansaddle.daemon.internal.gateway.control.UpstreamRegistry;
import org.toucansaddle.daemon.internal.gateway.relay.RelayMetrics;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.peer.PeerServer;
import org.toucansaddle.protocol.GatewayMethods;
import org.toucansaddle.protocol.PeerMethods;
import org.toucansaddle.protocol.generated.JoinReply;
import org.toucansaddle.protocol.generated.JoinRequest;
import org.toucansaddle.protocol.generated.PeerMessage;

/** Assembles and runs a control daemon. Thread-safe. */
public final class GatewayControl implements ControlGateway {

  private static final Logger LOG = LoggerFactory.getLogger(GatewayControl.class);
  private static final Logger DECISIONS = LoggerFactory.getLogger("decision.control");

  /** Pause between signs of life to routers, in milliseconds. */
  private static final int BEAT_MILLIS = 400;

  private static final int REPAIR_MILLIS = 100;

  /** A leader is replaced within half of the time in which changes must be acknowledged. */
  private static final int HEARTBEAT_MILLIS = 150;

  private static final int ELECTION_MILLIS = 600;

  /** Documents are whole configurations, so few of them fill a disk. */
  private static final int SNAPSHOT_ENTRIES = 64;

  private final DocumentFormat format;
  private final GatewayPeers peers;
  private final UpstreamRegistry registry = new UpstreamRegistry(System::nanoTime);
  private final RelayMetrics metrics = new RelayMetrics();
  private final ControlReplica replica;
  private final SeededReplicaSet replicaSet;
  private final DocumentStore store;
  private final FollowServer followers;
  private final PeerServer server;
  private volatile StoredDocument applied = StoredDocument.none();
  private volatile Runnable onApplied = () -> {};

  /** Starts a control daemon. */
  public GatewayControl(GatewaySettings settings, ControlSettings control) throws IOException {
    this.format = settings.format();
    this.peers = new GatewayPeers(settings);
    String self = settings.peerAddress();
    ReplicaLinks links = new ReplicaLinks(Optional::of, peers.clients());
    this.replica =
        new ControlReplica(
            control.dataFolder().resolve("replica"),
            self,
            ReplicationSettings.defaults()
                .withHeartbeatMillis(HEARTBEAT_MILLIS)
                .withElectionTimeoutMillis(ELECTION_MILLIS)
                .withSnapshotEntries(SNAPSHOT_ENTRIES),
            new DocumentStateMachine(this::applied),
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
            peers.control());
    this.followers =
        new FollowServer(
            () -> applied, registry, replicaSet::addresses, System::nanoTime, settings.zone());
    this.onApplied = () -> peers.control().execute(followers::push);
    this.server = peers.serve(self, List.of(linkDefinition(links), definition()));
    peers.every(REPAIR_MILLIS, replicaSet::step);
    peers.every(BEAT_MILLIS, followers::beat);
    metrics.registerGauge(
        "toucansaddle_gateway_whole_voters", "Voters that hold all.", replicaSet::wholeVoters);
    metrics.registerGauge(
        "toucansaddle_gateway_followers", "Routers that follow.", followers::size);
    metrics.registerGauge(
        "toucansaddle_gateway_configuration", "Version applied.", () -> applied.version());
    LOG.info("started: control daemon {} at {}", settings.name(), self);
  }

  private void applied(StoredDocument document) {
    applied = document;
    DECISIONS.info("applied configuration={} bytes={}", document.version(), size(document));
    onApplied.run();
  }

  private static int size(StoredDocument document) {
    return document.content().length;
  }

  private static ServerServiceDefinition linkDefinition(ReplicaLinks links) {
    return ServerServiceDefinition.builder(PeerMethods.SERVICE)
        .addMethod(PeerMethods.LINK, PeerServer.link((from, message) -> take(links, from, message)))
        .build();
  }

  private ServerServiceDefinition definition() {
    return ServerServiceDefinition.builder(GatewayMethods.SERVICE)
        .addMethod(GatewayMethods.FOLLOW, ServerCalls.asyncBidiStreamingCall(followers::follow))
        .addMethod(GatewayMethods.PUT_DOCUMENT, PeerServer.unary(store::putHere))
        .addMethod(GatewayMethods.READ_DOCUMENT, PeerServer.unary(request -> store.readHere()))
        .addMethod(GatewayMethods.JOIN, PeerServer.unary(this::join))
        .build();
  }

  private static void take(ReplicaLinks links, PeerIdentity from, PeerMessage message) {
    if (message.hasReplication()) {
      links.receive(from, message.getReplication());
    }
  }

  private CompletableFuture<JoinReply> join(JoinRequest request) {
    return CompletableFuture.completedFuture(replicaSet.answer(request));
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
                  outcome.map(o -> o.currentVersion()).orElse(applied.version()),
                  replica.status().leader().map(id -> id.name()).orElse("none"));
              return result;
            });
  }

  @Override
  public CompletableFuture<Optional<StoredDocument>> read(Duration timeout) {
    return store.read(timeout);
  }

  @Override
  public void report(UpstreamReport report) {
    if (registry.accept(report)) {
      DECISIONS.info(
          "upstream {} of {} at {} is {}, sequence {}, started {}",
          report.id(),
          report.service(),
          report.address(),
          report.state(),
          report.sequence(),
          report.startedAtMillis());
      followers.push();
    }
  }

  @Override
  public void leave(String upstream) {
    registry.leave(upstream, System.currentTimeMillis());
    DECISIONS.info("upstream {} left", upstream);
    followers.push();
  }

  @Override
  public int wholeVoters() {
    return replicaSet.wholeVoters();
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
    server.close();
    replica.close();
    peers.close();
  }
}
