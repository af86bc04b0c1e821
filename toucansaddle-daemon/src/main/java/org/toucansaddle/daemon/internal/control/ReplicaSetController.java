package org.toucansaddle.daemon.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;
import org.toucansaddle.coordination.replication.ReplicaStatus;
import org.toucansaddle.coordination.replication.ReplicaStatus.Role;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.PeerMethods;
import org.toucansaddle.protocol.generated.ReplicaProbeReply;
import org.toucansaddle.protocol.generated.ReplicaProbeRequest;

/**
 * Bootstraps the set of control replicas at the fleet's first start and repairs it afterwards.
 *
 * <p>The set is bootstrapped only after every configured replica reported an empty log, so a fleet
 * with a wiped disk never starts a second history. Later, a replica with an empty log joins as a
 * learner. Once the learner holds the whole log, the leader removes the lost voter of the same name
 * and then promotes the learner. {@link #step} must be called by a single thread; the other methods
 * are thread-safe.
 */
public final class ReplicaSetController {

  private static final Logger LOG = LoggerFactory.getLogger(ReplicaSetController.class);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);

  private final ControlReplica replica;
  private final List<String> configuredNames;
  private final FleetDirectory directory;
  private final PeerClients clients;
  private final Map<String, ReplicaProbeReply> probeReplies = new ConcurrentHashMap<>();
  private final Map<String, ReplicaId> joiningReplicas = new ConcurrentHashMap<>();

  /**
   * Creates a controller.
   *
   * @param configuredNames names of the control replicas in the settings
   */
  public ReplicaSetController(
      ControlReplica replica,
      List<String> configuredNames,
      FleetDirectory directory,
      PeerClients clients) {
    this.replica = replica;
    this.configuredNames = List.copyOf(configuredNames);
    this.directory = directory;
    this.clients = clients;
  }

  /** Handles another replica's probe; the leader records a request to join. */
  public ReplicaProbeReply handleProbe(ReplicaProbeRequest request) {
    ReplicaStatus status = replica.status();
    if (request.getJoin() && status.role() == Role.LEADER) {
      ReplicaId id = ReplicationMessageCodec.decode(request.getSender());
      joiningReplicas.put(id.name(), id);
    }
    return ReplicaProbeReply.newBuilder()
        .setIdentity(ReplicationMessageCodec.encode(replica.self()))
        .setInitialized(isInitialized(status))
        .setLeader(status.leader().map(ReplicaId::name).orElse(""))
        .build();
  }

  private static boolean isInitialized(ReplicaStatus status) {
    return status.lastIndex() > 0 || status.term() > 0;
  }

  /** Performs the next bootstrap or repair step, if any; must be called several times a second. */
  public void step() {
    ReplicaStatus status = replica.status();
    boolean isMember = status.members().contains(replica.self());
    if (!isMember) {
      probeOthers(status);
      bootstrapIfAllEmpty(status);
    } else if (status.role() == Role.LEADER && status.membersCommitted()) {
      repair(status);
    }
  }

  private void probeOthers(ReplicaStatus status) {
    ReplicaProbeRequest request =
        ReplicaProbeRequest.newBuilder()
            .setSender(ReplicationMessageCodec.encode(replica.self()))
            .setJoin(true)
            .build();
    for (String name : configuredNames) {
      Optional<String> address = directory.findAddress(name);
      if (name.equals(status.self().name()) || address.isEmpty()) {
        continue;
      }
      clients
          .call(address.get(), PeerMethods.PROBE_REPLICA, request, PROBE_TIMEOUT)
          .thenAccept(reply -> probeReplies.put(name, reply));
    }
  }

  private void bootstrapIfAllEmpty(ReplicaStatus status) {
    boolean hasLowestName =
        configuredNames.stream().sorted().findFirst().orElse("").equals(status.self().name());
    if (!hasLowestName
        || isInitialized(status)
        || probeReplies.size() < configuredNames.size() - 1) {
      return;
    }
    if (probeReplies.values().stream().anyMatch(ReplicaProbeReply::getInitialized)) {
      return;
    }
    ReplicaSet voters = ReplicaSet.empty().withVoter(replica.self());
    for (ReplicaProbeReply reply : probeReplies.values()) {
      voters = voters.withVoter(ReplicationMessageCodec.decode(reply.getIdentity()));
    }
    ReplicaSet initial = voters;
    LOG.info("bootstrapping the set of control replicas: {}", initial.voters());
    replica.execute(log -> log.bootstrap(initial));
  }

  private void repair(ReplicaStatus status) {
    ReplicaSet set = status.members();
    for (ReplicaId id : joiningReplicas.values()) {
      if (set.contains(id)) {
        joiningReplicas.remove(id.name(), id);
      } else if (configuredNames.contains(id.name())) {
        proposeMembers("adding a learner", set.withLearner(id));
        return;
      }
    }
    for (ReplicaId learner : set.learners()) {
      long matchIndex = status.matchIndexes().getOrDefault(learner, 0L);
      if (matchIndex < status.lastIndex()) {
        continue;
      }
      Optional<ReplicaId> lostVoter = set.findVoterByName(learner.name());
      if (lostVoter.isPresent()) {
        proposeMembers("removing a lost voter", set.without(lostVoter.get()));
      } else {
        proposeMembers("promoting an in-sync learner", set.withVoter(learner));
      }
      return;
    }
  }

  private void proposeMembers(String change, ReplicaSet next) {
    LOG.info("control replicas: {}: voters {} learners {}", change, next.voters(), next.learners());
    replica.submit(log -> log.proposeMembers(next));
  }
}
