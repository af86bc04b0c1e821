package org.toucansaddle.daemon.internal.gateway.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;
import org.toucansaddle.coordination.replication.ReplicaStatus;
import org.toucansaddle.coordination.replication.ReplicaStatus.Role;
import org.toucansaddle.daemon.internal.control.ControlReplica;
import org.toucansaddle.daemon.internal.control.ReplicationMessageCodec;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.GatewayMethods;
import org.toucansaddle.protocol.generated.JoinReply;
import org.toucansaddle.protocol.generated.JoinRequest;

/**
 * Bootstraps the set of control replicas from seeds at the first start, and repairs it afterwards.
 *
 * <p>A replica's name is the peer address of its daemon. The seeds form the initial set after all
 * of them reported an empty log. Only a daemon in its first start may bootstrap a set, so that a
 * wiped disk cannot begin a second history. Every other control daemon joins as a learner and is
 * promoted once it is in sync. A learner replaces the lost voter of the same address or, if the set
 * is full, a voter that no longer responds. The lost voter is removed before the learner is
 * promoted, so that the quorum never exceeds the number of live voters. {@link #reconcile} must be
 * called by one thread; all other methods are thread-safe.
 */
public final class SeededReplicaSet {

  private static final Logger LOG = LoggerFactory.getLogger(SeededReplicaSet.class);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(700);

  /** Maximum age of a reply that reports whether a log is empty. */
  private static final long MAX_REPLY_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /**
   * Time without a response after which a voter is replaced by a waiting learner: two election
   * timeouts.
   */
  private static final long VOTER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /**
   * Time without a leader after which a member sends join requests, because it may have been
   * removed from the set.
   */
  private static final long LEADER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** Interval between two checks of the connections to the other control daemons. */
  private static final long CONNECTION_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** A reply and its time of receipt. */
  private record ReceivedReply(JoinReply reply, long receivedAtNanos) {}

  private final ControlReplica replica;
  private final boolean firstStart;
  private final int targetVoters;
  private final Supplier<List<String>> seeds;
  private final PeerClients clients;
  private final LongSupplier clock;
  private final Map<String, ReceivedReply> replies = new ConcurrentHashMap<>();
  private final Map<String, ReplicaId> joiningReplicas = new ConcurrentHashMap<>();
  private final Set<String> pendingJoins = ConcurrentHashMap.newKeySet();
  private final Set<String> knownAddresses = ConcurrentHashMap.newKeySet();
  private final Map<ReplicaId, Long> lastResponsiveNanos = new ConcurrentHashMap<>();
  private long leaderSeenNanos;
  private long connectionsCheckedNanos;

  /**
   * Creates a manager.
   *
   * @param firstStart whether the gateway as a whole starts for the first time
   * @param targetVoters target number of voters
   * @param seeds supplies the peer addresses of some control daemons
   * @param clock supplies nanoseconds of a monotonic clock
   */
  public SeededReplicaSet(
      ControlReplica replica,
      boolean firstStart,
      int targetVoters,
      Supplier<List<String>> seeds,
      PeerClients clients,
      LongSupplier clock) {
    this.replica = replica;
    this.firstStart = firstStart;
    this.targetVoters = targetVoters;
    this.seeds = seeds;
    this.clients = clients;
    this.clock = clock;
    this.leaderSeenNanos = clock.getAsLong();
  }

  /** Returns the known peer addresses of the control daemons. */
  public List<String> addresses() {
    Set<String> all = new TreeSet<>();
    ReplicaSet set = replica.status().members();
    set.voters().forEach(id -> all.add(id.name()));
    set.learners().forEach(id -> all.add(id.name()));
    if (all.isEmpty()) {
      all.addAll(knownAddresses);
      all.addAll(seeds.get());
      all.add(selfAddress());
    }
    return new ArrayList<>(all);
  }

  /**
   * Returns the number of voters that respond and hold all committed entries; 0 if this daemon is
   * not the leader.
   */
  public int inSyncVoters() {
    ReplicaStatus status = replica.status();
    if (status.role() != Role.LEADER || !status.membersCommitted()) {
      return 0;
    }
    long others =
        status.members().voters().stream()
            .filter(status.responsive()::contains)
            .filter(id -> status.matchIndexes().getOrDefault(id, 0L) >= status.commitIndex())
            .count();
    return 1 + (int) others;
  }

  private String selfAddress() {
    return replica.self().name();
  }

  /** Handles the join request of another replica; a leader records non-members as joining. */
  public JoinReply handleJoin(JoinRequest request) {
    ReplicaStatus status = replica.status();
    ReplicaId sender = ReplicationMessageCodec.decode(request.getSender());
    if (status.role() == Role.LEADER && !status.members().contains(sender)) {
      joiningReplicas.put(sender.name(), sender);
    }
    return JoinReply.newBuilder()
        .setIdentity(ReplicationMessageCodec.encode(replica.self()))
        .setInitialized(isInitialized(status))
        .setInNewFleet(firstStart)
        .addAllMembers(addresses())
        .setLeader(status.leader().map(ReplicaId::name).orElse(""))
        .build();
  }

  private static boolean isInitialized(ReplicaStatus status) {
    return status.lastIndex() > 0 || status.term() > 0;
  }

  /** Performs the next bootstrap or repair step, if any; must be called several times a second. */
  public void reconcile() {
    if (replica.isUnavailable()) {
      return;
    }
    ReplicaStatus status = replica.status();
    long now = clock.getAsLong();
    if (status.leader().isPresent()) {
      leaderSeenNanos = now;
    }
    if (now - connectionsCheckedNanos > CONNECTION_CHECK_NANOS) {
      connectionsCheckedNanos = now;
      checkConnections(status);
    }
    boolean member = status.members().contains(replica.self());
    if (!member || now - leaderSeenNanos > LEADER_TIMEOUT_NANOS) {
      sendJoinRequests(status);
    }
    if (!member) {
      bootstrapIfAllEmpty(status, now);
    } else if (status.role() == Role.LEADER) {
      recordResponsiveVoters(status, now);
      if (status.membersCommitted()) {
        repair(status, now);
      }
    }
  }

  private JoinRequest request(ReplicaStatus status) {
    return JoinRequest.newBuilder()
        .setSender(ReplicationMessageCodec.encode(replica.self()))
        .setSenderInitialized(isInitialized(status))
        .setSenderInNewFleet(firstStart)
        .build();
  }

  /**
   * Reconnects to daemons that do not reply. Messages sent over a dead connection are lost without
   * an error.
   */
  private void checkConnections(ReplicaStatus status) {
    JoinRequest request = request(status);
    for (String address : addresses()) {
      if (!address.equals(selfAddress())) {
        clients
            .call(address, GatewayMethods.JOIN, request, PROBE_TIMEOUT)
            .whenComplete(
                (reply, failure) -> {
                  if (failure != null) {
                    clients.reconnect(address);
                  }
                });
      }
    }
  }

  private void sendJoinRequests(ReplicaStatus status) {
    JoinRequest request = request(status);
    Set<String> targets = new TreeSet<>(seeds.get());
    targets.addAll(knownAddresses);
    targets.remove(selfAddress());
    targets.stream()
        .filter(pendingJoins::add)
        .forEach(address -> sendJoinRequest(address, request));
  }

  private void sendJoinRequest(String address, JoinRequest request) {
    clients
        .call(address, GatewayMethods.JOIN, request, PROBE_TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              pendingJoins.remove(address);
              if (failure == null) {
                replies.put(address, new ReceivedReply(reply, clock.getAsLong()));
                knownAddresses.addAll(reply.getMembersList());
              } else {
                replies.remove(address);
              }
            });
  }

  private void bootstrapIfAllEmpty(ReplicaStatus status, long now) {
    List<String> seedAddresses = seeds.get();
    if (!firstStart || !seedAddresses.contains(selfAddress()) || isInitialized(status)) {
      return;
    }
    ReplicaSet voters = ReplicaSet.empty().withVoter(replica.self());
    for (String seed : seedAddresses) {
      if (seed.equals(selfAddress())) {
        continue;
      }
      ReceivedReply received = replies.get(seed);
      if (received == null
          || now - received.receivedAtNanos() > MAX_REPLY_AGE_NANOS
          || received.reply().getInitialized()) {
        return;
      }
      // Only the daemon with the lowest address among those in their first start bootstraps.
      if (received.reply().getInNewFleet() && seed.compareTo(selfAddress()) < 0) {
        return;
      }
      voters = voters.withVoter(ReplicationMessageCodec.decode(received.reply().getIdentity()));
    }
    ReplicaSet initial = voters;
    LOG.info("bootstrapping the set of control replicas: {}", initial.voters());
    replica.execute(log -> log.bootstrap(initial));
  }

  private void recordResponsiveVoters(ReplicaStatus status, long now) {
    status.responsive().forEach(id -> lastResponsiveNanos.put(id, now));
    status.members().voters().forEach(id -> lastResponsiveNanos.putIfAbsent(id, now));
    lastResponsiveNanos.keySet().retainAll(status.members().voters());
  }

  private void repair(ReplicaStatus status, long now) {
    ReplicaSet set = status.members();
    for (ReplicaId id : joiningReplicas.values()) {
      joiningReplicas.remove(id.name(), id);
      if (!set.contains(id)) {
        propose("adding a learner", set.withLearner(id));
        return;
      }
    }
    for (ReplicaId learner : set.learners()) {
      long match = status.matchIndexes().getOrDefault(learner, 0L);
      if (match >= status.commitIndex() && status.responsive().contains(learner)) {
        promoteOrMakeRoom(set, learner, now);
        return;
      }
    }
  }

  private void promoteOrMakeRoom(ReplicaSet set, ReplicaId learner, long now) {
    Optional<ReplicaId> lost = set.findVoterByName(learner.name());
    if (lost.isPresent()) {
      propose("removing a lost voter", set.without(lost.get()));
    } else if (set.voters().size() < targetVoters) {
      propose("promoting an in-sync learner", set.withVoter(learner));
    } else {
      set.voters().stream()
          .filter(id -> !id.equals(replica.self()))
          .filter(id -> now - lastResponsiveNanos.getOrDefault(id, now) > VOTER_TIMEOUT_NANOS)
          .findFirst()
          .ifPresent(id -> propose("removing an unresponsive voter", set.without(id)));
    }
  }

  private void propose(String change, ReplicaSet next) {
    LOG.info("control replicas: {}: voters {} learners {}", change, next.voters(), next.learners());
    replica
        .submit(log -> log.proposeMembers(next))
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                LOG.info("control replicas: set change failed: {}", failure.getMessage());
              }
            });
  }
}
