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
 * Dispatches messages and calls of other daemons to the controllers; those that are confined to the
 * control thread are called on it.
 *
 * <p>Thread-safe.
 */
final class InboundPeerService implements PeerService {

  private static final Logger LOG = LoggerFactory.getLogger(InboundPeerService.class);

  private final ScheduledExecutorService controlExecutor;
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
    this.controlExecutor = control;
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
      case PROBE -> runOnControlThread(() -> membership.onProbe(from, message.getProbe()));
      case DEMAND -> runOnControlThread(() -> sharing.onDemand(from, message.getDemand()));
      case LEASE -> runOnControlThread(() -> sharing.onLease(from, message.getLease()));
      case ANNOUNCEMENTS ->
          runOnControlThread(() -> sharing.onAnnouncements(from, message.getAnnouncements()));
      case STRIKES -> runOnControlThread(() -> membership.onStrikeNotice(message.getStrikes()));
      case POOL_REPORT -> runOnControlThread(() -> onPoolReport.accept(message.getPoolReport()));
      case CONFIGURATION -> follower.onDelta(from.address(), message.getConfiguration());
      case REPLICATION ->
          replicaLinks.ifPresent(links -> links.receive(from, message.getReplication()));
      default -> LOG.warn("ignored message of unknown kind from {}", from.name());
    }
  }

  private void runOnControlThread(Runnable action) {
    controlExecutor.execute(
        () -> {
          try {
            action.run();
          } catch (RuntimeException e) {
            LOG.error("failed to handle a message of another daemon", e);
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
