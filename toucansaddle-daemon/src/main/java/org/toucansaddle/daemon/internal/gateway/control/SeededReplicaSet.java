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
import org.toucansaddle.daemon.internal.control.ReplicaMessages;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.GatewayMethods;
import org.toucansaddle.protocol.generated.JoinReply;
import org.toucansaddle.protocol.generated.JoinRequest;

/**
 * Forms the set of control replicas from seeds at the first start, and repairs it afterwards.
 *
 * <p>A replica's name is the address of its daemon. The seeds form the first set, once all of them
 * answered that their logs are empty; a daemon that does not start for the first time never forms
 * one, so a wiped disk cannot start a second history. Every other control daemon joins as a learner
 * and is promoted once it holds the log. A learner takes the place of the lost voter at its
 * address, or of a voter that is silent when the set is full; the lost one is removed first, so a
 * set never needs more answers than it has live voters. {@link #step} is called by one thread; the
 * rest is thread-safe.
 */
public final class SeededReplicaSet {

  private static final Logger LOG = LoggerFactory.getLogger(SeededReplicaSet.class);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(700);

  /** Age at which an answer no longer tells whether a log is empty. */
  private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /** Silence after which a voter gives its place to a learner that waits: two election timeouts. */
  private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /** Silence of every leader after which a member asks whether it still is one. */
  private static final long LEADERLESS_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** Pause between two checks of the connections to the other control daemons. */
  private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** An answer and when it came. */
  private record Heard(JoinReply reply, long atNanos) {}

  private final ControlReplica replica;
  private final boolean firstStart;
  private final int target;
  private final Supplier<List<String>> seeds;
  private final PeerClients clients;
  private final LongSupplier clock;
  private final Map<String, Heard> answers = new ConcurrentHashMap<>();
  private final Map<String, ReplicaId> joining = new ConcurrentHashMap<>();
  private final Set<String> asking = ConcurrentHashMap.newKeySet();
  private final Set<String> known = ConcurrentHashMap.newKeySet();
  private final Map<ReplicaId, Long> heardFrom = new ConcurrentHashMap<>();
  private long leaderSeenAt;
  private long checkedAt;

  /** Creates a controller; {@code clock} gives nanoseconds. */
  public SeededReplicaSet(
      ControlReplica replica,
      boolean firstStart,
      int target,
      Supplier<List<String>> seeds,
      PeerClients clients,
      LongSupplier clock) {
    this.replica = replica;
    this.firstStart = firstStart;
    this.target = target;
    this.seeds = seeds;
    this.clients = clients;
    this.clock = clock;
    this.leaderSeenAt = clock.getAsLong();
  }

  /** Returns the addresses of the control daemons that are known. */
  public List<String> addresses() {
    Set<String> all = new TreeSet<>();
    ReplicaSet set = replica.status().members();
    set.voters().forEach(id -> all.add(id.name()));
    set.learners().forEach(id -> all.add(id.name()));
    if (all.isEmpty()) {
      all.addAll(known);
      all.addAll(seeds.get());
      all.add(self());
    }
    return new ArrayList<>(all);
  }

  /**
   * Returns the number of voters that hold all that is committed and answer; 0 if this daemon does
   * not lead.
   */
  public int wholeVoters() {
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

  private String self() {
    return replica.self().name();
  }

  /** Answers another replica, and notes its wish to join. */
  public JoinReply answer(JoinRequest request) {
    ReplicaStatus status = replica.status();
    ReplicaId sender = ReplicaMessages.decode(request.getSender());
    if (status.role() == Role.LEADER && !status.members().contains(sender)) {
      joining.put(sender.name(), sender);
    }
    return JoinReply.newBuilder()
        .setIdentity(ReplicaMessages.encode(replica.self()))
        .setInitialized(isInitialized(status))
        .setInNewFleet(firstStart)
        .addAllMembers(addresses())
        .setLeader(status.leader().map(ReplicaId::name).orElse(""))
        .build();
  }

  private static boolean isInitialized(ReplicaStatus status) {
    return status.lastIndex() > 0 || status.term() > 0;
  }

  /** Takes the next step of forming or repairing the set; call it a few times a second. */
  public void step() {
    if (replica.isStopped()) {
      return;
    }
    ReplicaStatus status = replica.status();
    long now = clock.getAsLong();
    if (status.leader().isPresent()) {
      leaderSeenAt = now;
    }
    if (now - checkedAt > CHECK_NANOS) {
      checkedAt = now;
      checkConnections(status);
    }
    boolean member = status.members().contains(replica.self());
    if (!member || now - leaderSeenAt > LEADERLESS_NANOS) {
      askOthers(status);
    }
    if (!member) {
      formIfAllEmpty(status, now);
    } else if (status.role() == Role.LEADER) {
      noteResponsive(status, now);
      if (status.membersCommitted()) {
        repair(status, now);
      }
    }
  }

  private JoinRequest request(ReplicaStatus status) {
    return JoinRequest.newBuilder()
        .setSender(ReplicaMessages.encode(replica.self()))
        .setSenderInitialized(isInitialized(status))
        .setSenderInNewFleet(firstStart)
        .build();
  }

  /** A connection may have gone silent; what is sent on it then is lost without an error. */
  private void checkConnections(ReplicaStatus status) {
    JoinRequest request = request(status);
    for (String address : addresses()) {
      if (!address.equals(self())) {
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

  private void askOthers(ReplicaStatus status) {
    JoinRequest request = request(status);
    Set<String> targets = new TreeSet<>(seeds.get());
    targets.addAll(known);
    targets.remove(self());
    targets.stream().filter(asking::add).forEach(address -> ask(address, request));
  }

  private void ask(String address, JoinRequest request) {
    clients
        .call(address, GatewayMethods.JOIN, request, PROBE_TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              asking.remove(address);
              if (failure == null) {
                answers.put(address, new Heard(reply, clock.getAsLong()));
                known.addAll(reply.getMembersList());
              } else {
                answers.remove(address);
              }
            });
  }

  private void formIfAllEmpty(ReplicaStatus status, long now) {
    List<String> named = seeds.get();
    if (!firstStart || !named.contains(self()) || isInitialized(status)) {
      return;
    }
    ReplicaSet voters = ReplicaSet.empty().withVoter(replica.self());
    for (String seed : named) {
      if (seed.equals(self())) {
        continue;
      }
      Heard heard = answers.get(seed);
      if (heard == null || now - heard.atNanos() > FRESH_NANOS || heard.reply().getInitialized()) {
        return;
      }
      if (heard.reply().getInNewFleet() && seed.compareTo(self()) < 0) {
        return;
      }
      voters = voters.withVoter(ReplicaMessages.decode(heard.reply().getIdentity()));
    }
    ReplicaSet formed = voters;
    LOG.info("forming the set of control replicas: {}", formed.voters());
    replica.run(log -> log.bootstrap(formed));
  }

  private void noteResponsive(ReplicaStatus status, long now) {
    status.responsive().forEach(id -> heardFrom.put(id, now));
    status.members().voters().forEach(id -> heardFrom.putIfAbsent(id, now));
    heardFrom.keySet().retainAll(status.members().voters());
  }

  private void repair(ReplicaStatus status, long now) {
    ReplicaSet set = status.members();
    for (ReplicaId id : joining.values()) {
      joining.remove(id.name(), id);
      if (!set.contains(id)) {
        propose("adding a learner", set.withLearner(id));
        return;
      }
    }
    for (ReplicaId learner : set.learners()) {
      long match = status.matchIndexes().getOrDefault(learner, 0L);
      if (match >= status.commitIndex() && status.responsive().contains(learner)) {
        admit(set, learner, now);
        return;
      }
    }
  }

  private void admit(ReplicaSet set, ReplicaId learner, long now) {
    Optional<ReplicaId> lost = set.findVoterByName(learner.name());
    if (lost.isPresent()) {
      propose("removing a lost replica", set.without(lost.get()));
    } else if (set.voters().size() < target) {
      propose("promoting a learner that holds the log", set.withVoter(learner));
    } else {
      set.voters().stream()
          .filter(id -> !id.equals(replica.self()))
          .filter(id -> now - heardFrom.getOrDefault(id, now) > SILENT_NANOS)
          .findFirst()
          .ifPresent(id -> propose("removing a silent replica", set.without(id)));
    }
  }

  private void propose(String why, ReplicaSet next) {
    LOG.info("control replicas: {}: voters {} learners {}", why, next.voters(), next.learners());
    replica
        .call(log -> log.proposeMembers(next))
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                LOG.info("control replicas: not changed: {}", failure.getMessage());
              }
            });
  }
}
