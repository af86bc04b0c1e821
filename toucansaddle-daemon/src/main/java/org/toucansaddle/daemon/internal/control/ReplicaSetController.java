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
 * Forms the set of control replicas at the fleet's first start and repairs it afterwards.
 *
 * <p>A fleet is formed only when every named replica answered that its log is empty, so a wiped
 * disk can never start a second history. Later, a replica with an empty log joins as a learner; the
 * leader removes the lost replica of the same name, then promotes the learner once it holds the
 * whole log. {@link #step} is called by one thread; the rest is thread-safe.
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

  /** Creates a controller; {@code named} are the replicas of the settings. */
  public ReplicaSetController(
      ControlReplica replica, List<String> named, FleetDirectory directory, PeerClients clients) {
    this.replica = replica;
    this.configuredNames = List.copyOf(named);
    this.directory = directory;
    this.clients = clients;
  }

  /** Answers another replica's probe, and notes its wish to join. */
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

  /** Takes the next step of forming or repairing the set; call it a few times a second. */
  public void step() {
    ReplicaStatus status = replica.status();
    boolean member = status.members().contains(replica.self());
    if (!member) {
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
    boolean first =
        configuredNames.stream().sorted().findFirst().orElse("").equals(status.self().name());
    if (!first || isInitialized(status) || probeReplies.size() < configuredNames.size() - 1) {
      return;
    }
    if (probeReplies.values().stream().anyMatch(ReplicaProbeReply::getInitialized)) {
      return;
    }
    ReplicaSet voters = ReplicaSet.empty().withVoter(replica.self());
    for (ReplicaProbeReply reply : probeReplies.values()) {
      voters = voters.withVoter(ReplicationMessageCodec.decode(reply.getIdentity()));
    }
    ReplicaSet formed = voters;
    LOG.info("forming the set of control replicas: {}", formed.voters());
    replica.execute(log -> log.bootstrap(formed));
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
      long match = status.matchIndexes().getOrDefault(learner, 0L);
      if (match < status.lastIndex()) {
        continue;
      }
      Optional<ReplicaId> lost = set.findVoterByName(learner.name());
      if (lost.isPresent()) {
        proposeMembers("removing a lost replica", set.without(lost.get()));
      } else {
        proposeMembers("promoting a learner that holds the whole log", set.withVoter(learner));
      }
      return;
    }
  }

  private void proposeMembers(String why, ReplicaSet next) {
    LOG.info("control replicas: {}: voters {} learners {}", why, next.voters(), next.learners());
    replica.submit(log -> log.proposeMembers(next));
  }
}
