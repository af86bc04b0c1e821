package org.toucansaddle.daemon.internal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.control.ConfigurationFollower;
import org.toucansaddle.daemon.internal.control.LeaderRequestHandler;
import org.toucansaddle.daemon.internal.control.PeerReplicaTransport;
import org.toucansaddle.daemon.internal.control.ReplicaSetController;
import org.toucansaddle.daemon.internal.membership.MembershipController;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.peer.PeerService;
import org.toucansaddle.daemon.internal.sharing.SharingController;
import org.toucansaddle.protocol.generated.FetchConfigurationReply;
import org.toucansaddle.protocol.generated.FetchConfigurationRequest;
import org.toucansaddle.protocol.generated.PeerMessage;
import org.toucansaddle.protocol.generated.PoolReport;
import org.toucansaddle.protocol.generated.ProposeReply;
import org.toucansaddle.protocol.generated.ProposeRequest;
import org.toucansaddle.protocol.generated.ReplicaProbeReply;
import org.toucansaddle.protocol.generated.ReplicaProbeRequest;

/**
 * Hands messages of other daemons to the controllers, on the control thread where they need it.
 *
 * <p>Thread-safe.
 */
final class InboundPeerService implements PeerService {

  private static final Logger LOG = LoggerFactory.getLogger(InboundPeerService.class);

  private final ScheduledExecutorService control;
  private final MembershipController membership;
  private final SharingController sharing;
  private final Consumer<PoolReport> onPoolReport;
  private final ConfigurationFollower follower;
  private final LeaderRequestHandler leaderCalls;
  private final Optional<PeerReplicaTransport> replicaLinks;
  private final Optional<ReplicaSetController> replicaSet;

  InboundPeerService(
      ScheduledExecutorService control,
      MembershipController membership,
      SharingController sharing,
      Consumer<PoolReport> onPoolReport,
      ConfigurationFollower follower,
      LeaderRequestHandler leaderCalls,
      Optional<PeerReplicaTransport> replicaLinks,
      Optional<ReplicaSetController> replicaSet) {
    this.control = control;
    this.membership = membership;
    this.sharing = sharing;
    this.onPoolReport = onPoolReport;
    this.follower = follower;
    this.leaderCalls = leaderCalls;
    this.replicaLinks = replicaLinks;
    this.replicaSet = replicaSet;
  }

  @Override
  public void onMessage(PeerIdentity from, PeerMessage message) {
    switch (message.getKindCase()) {
      case PROBE -> onControl(() -> membership.onProbe(from, message.getProbe()));
      case DEMAND -> onControl(() -> sharing.onDemand(from, message.getDemand()));
      case LEASE -> onControl(() -> sharing.onLease(from, message.getLease()));
      case ANNOUNCEMENTS ->
          onControl(() -> sharing.onAnnouncements(from, message.getAnnouncements()));
      case STRIKES -> onControl(() -> membership.onStrikeNotice(message.getStrikes()));
      case POOL_REPORT -> onControl(() -> onPoolReport.accept(message.getPoolReport()));
      case CONFIGURATION -> follower.onDelta(from.address(), message.getConfiguration());
      case REPLICATION ->
          replicaLinks.ifPresent(links -> links.receive(from, message.getReplication()));
      default -> LOG.warn("message of an unknown kind from {}", from.name());
    }
  }

  private void onControl(Runnable action) {
    control.execute(
        () -> {
          try {
            action.run();
          } catch (RuntimeException e) {
            LOG.error("a message of another daemon could not be handled", e);
          }
        });
  }

  @Override
  public CompletableFuture<ProposeReply> propose(ProposeRequest request) {
    return leaderCalls.propose(request);
  }

  @Override
  public CompletableFuture<FetchConfigurationReply> fetchConfiguration(
      FetchConfigurationRequest request) {
    return leaderCalls.fetch(request);
  }

  @Override
  public CompletableFuture<ReplicaProbeReply> probeReplica(ReplicaProbeRequest request) {
    if (replicaSet.isEmpty()) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("This daemon is not a control replica."));
    }
    return CompletableFuture.completedFuture(replicaSet.get().handleProbe(request));
  }
}
