package org.toucansaddle.daemon.internal;

import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.coordination.replication.ReplicationSettings;
import org.toucansaddle.coordination.retry.StrikeTable;
import org.toucansaddle.coordination.sharing.SharingSettings;
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.daemon.internal.control.ConfigurationFollower;
import org.toucansaddle.daemon.internal.control.ControlClient;
import org.toucansaddle.daemon.internal.control.ControlReplica;
import org.toucansaddle.daemon.internal.control.ControlStateMachine;
import org.toucansaddle.daemon.internal.control.FleetDirectory;
import org.toucansaddle.daemon.internal.control.LeaderRequestHandler;
import org.toucansaddle.daemon.internal.control.PeerReplicaTransport;
import org.toucansaddle.daemon.internal.control.ReplicaSetController;
import org.toucansaddle.daemon.internal.membership.MembershipController;
import org.toucansaddle.daemon.internal.peer.FleetProof;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.peer.PeerServer;
import org.toucansaddle.daemon.internal.peer.PeerTls;
import org.toucansaddle.daemon.internal.placement.HttpOrderClient;
import org.toucansaddle.daemon.internal.placement.PlacementController;
import org.toucansaddle.daemon.internal.sharing.PoolKey;
import org.toucansaddle.daemon.internal.sharing.ServiceCounters;
import org.toucansaddle.daemon.internal.sharing.SharingController;
import org.toucansaddle.daemon.settings.DaemonSettings;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.protocol.generated.ConfigurationItem;
import org.toucansaddle.protocol.generated.PoolReport;
import org.toucansaddle.protocol.generated.UpstreamKind;
import org.toucansaddle.protocol.generated.WorkClass;

/**
 * The controllers of one daemon and their connections to other daemons.
 *
 * <p>Threads: one event loop for peer connections, one control thread for all controllers and, on a
 * control replica, one for its replicated log. Thread-safe.
 */
final class ControlPlane implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
  private static final int TICK_INTERVAL_MILLIS = 100;
  private static final int REPLICA_SET_INTERVAL_MILLIS = 300;

  private final ConfigurationHolder holder = new ConfigurationHolder();
  private final FleetDirectory directory = new FleetDirectory();
  private final ServiceCounters serviceCounters = new ServiceCounters();
  private final EventLoopGroup peerThreads = new NioEventLoopGroup(1);
  private final ScheduledExecutorService controlExecutor = newSingleThreadScheduler("control");
  private final PeerIdentity self;
  private final PeerClients clients;
  private final PeerServer peerServer;
  private final Optional<ControlReplica> replica;
  private final ControlClient controlClient;
  private final ConfigurationFollower follower;
  private final SharingController sharing;
  private final MembershipController membership;
  private final HttpClient orderClient =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(1));
  private final PlacementController placement;

  ControlPlane(DaemonSettings settings, StrikeTable strikes, ScheduledExecutorService timers)
      throws IOException {
    String name = settings.identity().name();
    this.self =
        new PeerIdentity(name, settings.listen().advertisedPeers(), System.currentTimeMillis());
    FleetProof proof = new FleetProof(settings.identity().fleet(), settings.peers().secret());
    PeerTls tls = new PeerTls(settings.peers().tls());
    this.clients = new PeerClients(self, proof, tls, peerThreads);
    PeerReplicaTransport links = new PeerReplicaTransport(directory::findAddress, clients);
    this.replica = startReplica(settings, links);
    LeaderRequestHandler leaderCalls = new LeaderRequestHandler(replica, holder);
    this.controlClient = new ControlClient(name, leaderCalls, directory, clients, timers);
    this.follower = new ConfigurationFollower(name, holder, controlClient, directory, clients);
    this.sharing = createSharing(settings);
    this.membership = createMembership(settings, strikes);
    this.placement = createPlacement(leaderCalls);
    Optional<ReplicaSetController> replicaSet =
        replica.map(
            r -> new ReplicaSetController(r, settings.control().replicas(), directory, clients));
    InboundPeerService inbound =
        new InboundPeerService(
            controlExecutor,
            membership,
            sharing,
            this::onPoolReport,
            follower,
            leaderCalls,
            replica.map(r -> links),
            replicaSet);
    this.peerServer = PeerServer.start(settings.listen().peers(), inbound, proof, tls, peerThreads);
    schedule(replicaSet);
    follower
        .fetchFirstConfirmed()
        .thenRun(() -> LOG.info("ready at revision {}", holder.current().revision()));
  }

  static ScheduledExecutorService newSingleThreadScheduler(String name) {
    return Executors.newSingleThreadScheduledExecutor(
        action -> {
          Thread thread = new Thread(action, name);
          thread.setDaemon(true);
          return thread;
        });
  }

  private Optional<ControlReplica> startReplica(
      DaemonSettings settings, PeerReplicaTransport links) {
    if (!settings.control().isReplica()) {
      return Optional.empty();
    }
    ControlReplica newReplica =
        new ControlReplica(
            settings.control().dataFolder().orElseThrow().resolve("replica"),
            self.name(),
            ReplicationSettings.defaults(),
            new ControlStateMachine(holder::applyIfNewer),
            links);
    links.setReplica(newReplica);
    return Optional.of(newReplica);
  }

  private SharingController createSharing(DaemonSettings settings) {
    SharingSettings sharingSettings = SharingSettings.defaults().withMode(settings.sharingMode());
    return new SharingController(
        self,
        sharingSettings,
        directory,
        clients,
        serviceCounters,
        controlExecutor,
        MonotonicClock::millis,
        this::onPoolReport);
  }

  private PlacementController createPlacement(LeaderRequestHandler leaderCalls) {
    return new PlacementController(
        () -> replica.map(ControlReplica::status),
        leaderCalls::propose,
        this::firstTokenTargets,
        new HttpOrderClient(orderClient),
        MonotonicClock::millis,
        ReplicationSettings.defaults().electionTimeoutMillis());
  }

  /** Returns the shortest first-token target of the work classes of each model, in milliseconds. */
  private Map<String, Integer> firstTokenTargets() {
    Map<String, Integer> targets = new TreeMap<>();
    for (ConfigurationItem item : holder.current().items().items().values()) {
      WorkClass workClass = item.getWorkClass();
      if (item.hasWorkClass() && workClass.getKind() == UpstreamKind.MODEL) {
        targets.merge(workClass.getPool(), workClass.getFirstTokenMillis(), Math::min);
      }
    }
    return targets;
  }

  private void onPoolReport(PoolReport report) {
    PoolKey.modelName(report.getPool()).ifPresent(model -> placement.onReport(model, report));
  }

  private MembershipController createMembership(DaemonSettings settings, StrikeTable strikes) {
    Member member =
        new Member(
            self.name(),
            self.incarnation(),
            Member.State.ALIVE,
            self.address(),
            settings.identity().zone(),
            settings.control().isReplica());
    return new MembershipController(
        member,
        settings.peers().seeds(),
        directory,
        clients,
        holder,
        follower,
        strikes,
        MonotonicClock::millis,
        sharing::onMembersChanged);
  }

  private void schedule(Optional<ReplicaSetController> replicaSet) {
    schedulePeriodically(TICK_INTERVAL_MILLIS, controlExecutor, this::tick);
    replicaSet.ifPresent(
        set -> schedulePeriodically(REPLICA_SET_INTERVAL_MILLIS, controlExecutor, set::step));
  }

  private void tick() {
    membership.tick();
    sharing.tick();
    if (replica.isPresent()) {
      placement.tick();
    }
    confirmAsLeader();
  }

  static void schedulePeriodically(int millis, ScheduledExecutorService executor, Runnable action) {
    executor.scheduleWithFixedDelay(
        () -> {
          try {
            action.run();
          } catch (RuntimeException e) {
            LOG.error("a periodic task failed", e);
          }
        },
        millis,
        millis,
        TimeUnit.MILLISECONDS);
  }

  /** Confirms the configuration here if this replica leads with a valid lease: it is the latest. */
  private void confirmAsLeader() {
    long now = System.nanoTime();
    boolean hasLeaderLease = replica.filter(r -> r.status().leaseValid()).isPresent();
    if (hasLeaderLease && holder.isConfirmed()) {
      holder.recordConfirmation(now);
    }
  }

  PeerIdentity self() {
    return self;
  }

  ConfigurationHolder holder() {
    return holder;
  }

  FleetDirectory directory() {
    return directory;
  }

  ServiceCounters serviceCounters() {
    return serviceCounters;
  }

  PeerClients clients() {
    return clients;
  }

  Optional<ControlReplica> replica() {
    return replica;
  }

  ControlClient controlClient() {
    return controlClient;
  }

  SharingController sharing() {
    return sharing;
  }

  /** Broadcasts the strikes of a request to all live daemons. */
  void announceStrikes(long digest) {
    controlExecutor.execute(() -> membership.broadcastStrikes(digest));
  }

  /** Announces to the other daemons that this one leaves the fleet. */
  void leave() {
    controlExecutor.execute(membership::leave);
  }

  @Override
  public void close() {
    controlExecutor.shutdownNow();
    replica.ifPresent(ControlReplica::close);
    clients.close();
    peerServer.close();
    orderClient.close();
    peerThreads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
