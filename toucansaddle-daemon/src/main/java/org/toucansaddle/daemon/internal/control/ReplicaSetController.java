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
  private final List<String> named;
  private final FleetDirectory directory;
  private final PeerClients clients;
  private final Map<String, ReplicaProbeReply> answers = new ConcurrentHashMap<>();
  private final Map<String, ReplicaId> joining = new ConcurrentHashMap<>();

  /** Creates a controller; {@code named} are the replicas of the settings. */
  public ReplicaSetController(
      ControlReplica replica, List<String> named, FleetDirectory directory, PeerClients clients) {
    this.replica = replica;
    this.named = List.copyOf(named);
    this.directory = directory;
    this.clients = clients;
  }

  /** Answers another replica's probe, and notes its wish to join. */
  public ReplicaProbeReply answer(ReplicaProbeRequest request) {
    ReplicaStatus status = replica.status();
    if (request.getJoin() && status.role() == Role.LEADER) {
      ReplicaId id = ReplicaMessages.decode(request.getSender());
      joining.put(id.name(), id);
    }
    return ReplicaProbeReply.newBuilder()
        .setIdentity(ReplicaMessages.encode(replica.self()))
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
      formIfAllEmpty(status);
    } else if (status.role() == Role.LEADER && status.membersCommitted()) {
      repair(status);
    }
  }

  private void probeOthers(ReplicaStatus status) {
    ReplicaProbeRequest request =
        ReplicaProbeRequest.newBuilder()
            .setSender(ReplicaMessages.encode(replica.self()))
            .setJoin(true)
            .build();
    for (String name : named) {
      Optional<String> address = directory.address(name);
      if (name.equals(status.self().name()) || address.isEmpty()) {
        continue;
      }
      clients
          .call(address.get(), PeerMethods.PROBE_REPLICA, request, PROBE_TIMEOUT)
          .thenAccept(reply -> answers.put(name, reply));
    }
  }

  private void formIfAllEmpty(ReplicaStatus status) {
    boolean first = named.stream().sorted().findFirst().orElse("").equals(status.self().name());
    if (!first || isInitialized(status) || answers.size() < named.size() - 1) {
      return;
    }
    if (answers.values().stream().anyMatch(ReplicaProbeReply::getInitialized)) {
      return;
    }
    ReplicaSet voters = ReplicaSet.empty().withVoter(replica.self());
    for (ReplicaProbeReply reply : answers.values()) {
      voters = voters.withVoter(ReplicaMessages.decode(reply.getIdentity()));
    }
    ReplicaSet formed = voters;
    LOG.info("forming the set of control replicas: {}", formed.voters());
    replica.run(log -> log.bootstrap(formed));
  }

  private void repair(ReplicaStatus status) {
    ReplicaSet set = status.members();
    for (ReplicaId id : joining.values()) {
      if (set.contains(id)) {
        joining.remove(id.name(), id);
      } else if (named.contains(id.name())) {
        propose("adding a learner", set.withLearner(id));
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
        propose("removing a lost replica", set.without(lost.get()));
      } else {
        propose("promoting a learner that holds the whole log", set.withVoter(learner));
      }
      return;
    }
  }

  private void propose(String why, ReplicaSet next) {
    LOG.info("control replicas: {}: voters {} learners {}", why, next.voters(), next.learners());
    replica.call(log -> log.proposeMembers(next));
  }
}
