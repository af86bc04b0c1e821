package org.toucansaddle.coordination.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.toucansaddle.coordination.Coordination;

/**
 * Deterministic simulation of replicas. All faults follow from one seed: loss, delay, reordering
 * and duplication of messages, partitions, freezes, crashes before a sync, and wiped disks. Not
 * thread-safe.
 */
final class ReplicationSimulation {

  private static final int STEP_MILLIS = 10;
  private static final int SETTLE_MILLIS = 1_000;
  private static final ReplicationSettings SETTINGS =
      ReplicationSettings.defaults()
          .withHeartbeatMillis(50)
          .withElectionTimeoutMillis(200)
          .withSnapshotEntries(15);

  private record Delivery(
      long deliverAtMillis, long sequence, ReplicaId from, ReplicaId to, RaftMessage message) {}

  /** A replica and its disk. */
  private static final class Node {
    private ReplicaId id;
    private SimulatedDisk disk = new SimulatedDisk();
    private RecordingStateMachine stateMachine;
    private ReplicatedLog log;
    private long downUntilMillis;
    private long frozenUntilMillis;

    Node(ReplicaId id) {
      this.id = id;
    }
  }

  private final SplittableRandom random;
  private final Map<ReplicaId, Node> nodes = new TreeMap<>();
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::deliverAtMillis)
              .thenComparingLong(Delivery::sequence));
  private final Map<Long, ReplicaId> leaderByTerm = new HashMap<>();
  private final Set<String> acknowledgedCommands = new HashSet<>();
  private final List<String> appliedCommands = new ArrayList<>();
  private Set<ReplicaId> partitioned = Set.of();
  private long partitionedUntilMillis;
  private boolean faultsEnabled;
  private boolean networkReliable;
  private boolean wipesDisks;
  private int wipedDisks;
  private long fullyReplicatedAtMillis;
  private long nowMillis = 1;
  private long nextDeliverySequence;
  private int proposals;

  ReplicationSimulation(long seed, int replicas) {
    this.random = new SplittableRandom(seed);
    ReplicaSet voters = ReplicaSet.empty();
    for (int i = 1; i <= replicas; i++) {
      voters = voters.withVoter(new ReplicaId("replica-" + i, i));
    }
    for (ReplicaId id : voters.voters()) {
      Node node = new Node(id);
      nodes.put(id, node);
      start(node);
    }
    Node first = nodes.values().iterator().next();
    first.log.bootstrap(voters);
    first.log.flush();
  }

  private void start(Node node) {
    node.stateMachine = new RecordingStateMachine();
    node.log =
        Coordination.replicatedLog(
            SETTINGS,
            node.id,
            node.disk,
            node.stateMachine,
            (to, message) -> send(node.id, to, message),
            () -> nowMillis,
            random.split());
  }

  private void send(ReplicaId from, ReplicaId to, RaftMessage message) {
    boolean crossesPartition = partitioned.contains(from) != partitioned.contains(to);
    if (networkReliable) {
      network.add(
          new Delivery(nowMillis + random.nextInt(5), nextDeliverySequence++, from, to, message));
      return;
    }
    if (crossesPartition || random.nextInt(100) < 5) {
      return;
    }
    int copies = random.nextInt(100) < 3 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delayMillis = random.nextInt(100) < 5 ? random.nextInt(400) : random.nextInt(15);
      network.add(new Delivery(nowMillis + delayMillis, nextDeliverySequence++, from, to, message));
    }
  }

  /** Enables disk losses: fewer than half of the disks at once, and only while fully replicated. */
  ReplicationSimulation withDiskLosses() {
    wipesDisks = true;
    return this;
  }

  /** Returns the number of disks wiped so far. */
  int wipedDisks() {
    return wipedDisks;
  }

  private void wipeRandomDisks() {
    List<Node> candidates = new ArrayList<>(nodes.values());
    int maxWiped = (candidates.size() - 1) / 2;
    for (int i = 1 + random.nextInt(maxWiped); i > 0; i--) {
      Node node = candidates.remove(random.nextInt(candidates.size()));
      nodes.remove(node.id);
      node.id = new ReplicaId(node.id.name(), node.id.folderId() + 100);
      node.disk = new SimulatedDisk();
      node.downUntilMillis = nowMillis + random.nextInt(500);
      nodes.put(node.id, node);
      start(node);
      wipedDisks++;
    }
  }

  /**
   * Returns whether, within the last second, all replicas were voters and held every committed
   * entry.
   */
  boolean wasRecentlyFullyReplicated() {
    return nowMillis - fullyReplicatedAtMillis < SETTLE_MILLIS;
  }

  private boolean isFullyReplicated() {
    return nodes.values().stream()
        .map(node -> node.log.status())
        .filter(status -> status.role() == ReplicaStatus.Role.LEADER && status.membersCommitted())
        .anyMatch(
            status ->
                status.members().voters().equals(nodes.keySet())
                    && status.matchIndexes().values().stream()
                        .allMatch(index -> index >= status.commitIndex())
                    && status.responsive().size() == nodes.size() - 1);
  }

  /**
   * Repairs the replica set as a control daemon does on the leader: adds new replicas as learners,
   * removes lost voters, then promotes the learners.
   */
  private void repairReplicaSet(Node node) {
    ReplicaStatus status = node.log.status();
    if (status.role() != ReplicaStatus.Role.LEADER || !status.membersCommitted()) {
      return;
    }
    ReplicaSet members = status.members();
    for (Node candidate : nodes.values()) {
      if (!members.contains(candidate.id) && isUp(candidate)) {
        node.log.proposeMembers(members.withLearner(candidate.id));
        return;
      }
    }
    for (ReplicaId learner : members.learners()) {
      boolean isUpToDate =
          status.matchIndexes().getOrDefault(learner, 0L) >= status.commitIndex()
              && status.responsive().contains(learner);
      if (isUpToDate) {
        ReplicaSet withoutLostVoter =
            members.findVoterByName(learner.name()).map(members::without).orElse(null);
        node.log.proposeMembers(
            withoutLostVoter == null ? members.withVoter(learner) : withoutLostVoter);
        return;
      }
    }
  }

  /** Runs with faults, then without, and checks the invariants after each step. */
  void run(long faultMillis, long faultFreeMillis) {
    long faultsEndMillis = nowMillis + faultMillis;
    long endMillis = faultsEndMillis + faultFreeMillis;
    while (nowMillis < endMillis) {
      faultsEnabled = nowMillis < faultsEndMillis;
      if (faultsEnabled) {
        injectFaults();
      } else {
        heal();
      }
      if (nowMillis < endMillis - SETTLE_MILLIS) {
        propose();
      }
      step();
      fullyReplicatedAtMillis =
          wipesDisks && isFullyReplicated() ? nowMillis : fullyReplicatedAtMillis;
      nowMillis += STEP_MILLIS;
    }
  }

  /**
   * Powers off all replicas; {@code lostReplicas} never restart, the others restart within {@code
   * startsWithinMillis}.
   *
   * @return time from the last restart to the election of a leader, in milliseconds
   */
  long millisToLeaderAfterPowerLoss(int lostReplicas, int startsWithinMillis) {
    networkReliable = true;
    network.clear();
    heal();
    long lastStartMillis = nowMillis;
    int index = 0;
    for (Node node : nodes.values()) {
      boolean staysDown = index++ < lostReplicas;
      node.downUntilMillis =
          staysDown ? Long.MAX_VALUE : nowMillis + random.nextInt(startsWithinMillis);
      lastStartMillis =
          staysDown ? lastStartMillis : Math.max(lastStartMillis, node.downUntilMillis);
      node.disk.crash();
      node.log = null;
    }
    while (nodes.values().stream().noneMatch(this::isLeader)) {
      for (Node node : nodes.values()) {
        if (node.log == null && isUp(node)) {
          start(node);
        }
      }
      if (nowMillis > lastStartMillis + 60_000) {
        throw new AssertionError("no leader within 60 s after the last restart");
      }
      step();
      nowMillis += STEP_MILLIS;
    }
    return nowMillis - lastStartMillis;
  }

  private boolean isLeader(Node node) {
    return node.log != null && node.log.status().role() == ReplicaStatus.Role.LEADER;
  }

  private void heal() {
    partitioned = Set.of();
    nodes
        .values()
        .forEach(node -> node.downUntilMillis = Math.min(node.downUntilMillis, nowMillis));
    nodes
        .values()
        .forEach(node -> node.frozenUntilMillis = Math.min(node.frozenUntilMillis, nowMillis));
  }

  private void injectFaults() {
    if (nowMillis > partitionedUntilMillis) {
      partitioned = Set.of();
    }
    if (wipesDisks && random.nextInt(100) == 0 && isFullyReplicated()) {
      wipeRandomDisks();
    }
    int faultDraw = random.nextInt(1_000);
    Node victim = selectRandomNode();
    if (faultDraw < 8) {
      crash(victim);
    } else if (faultDraw < 14) {
      victim.frozenUntilMillis = nowMillis + random.nextInt(1_500);
    } else if (faultDraw < 20) {
      partitioned = Set.of(victim.id);
      partitionedUntilMillis = nowMillis + random.nextInt(2_000);
    }
  }

  private Node selectRandomNode() {
    List<Node> candidates = new ArrayList<>(nodes.values());
    return candidates.get(random.nextInt(candidates.size()));
  }

  private void crash(Node node) {
    node.disk.crash();
    node.downUntilMillis = nowMillis + random.nextInt(1_000);
    start(node);
  }

  private void propose() {
    if (random.nextInt(4) > 0) {
      return;
    }
    Node node = selectRandomNode();
    if (!isUp(node)) {
      return;
    }
    String command = "command-" + proposals++;
    node.log
        .propose(command.getBytes(StandardCharsets.UTF_8))
        .thenAccept(result -> acknowledgedCommands.add(command));
  }

  private boolean isUp(Node node) {
    return nowMillis >= node.downUntilMillis && nowMillis >= node.frozenUntilMillis;
  }

  private void step() {
    while (!network.isEmpty() && network.peek().deliverAtMillis() <= nowMillis) {
      Delivery delivery = network.poll();
      Node node = nodes.get(delivery.to());
      if (node == null) {
        continue;
      }
      if (isUp(node)) {
        node.log.receive(delivery.from(), delivery.message());
      } else if (nowMillis >= node.downUntilMillis) {
        network.add(
            new Delivery(
                node.frozenUntilMillis,
                nextDeliverySequence++,
                delivery.from(),
                delivery.to(),
                delivery.message()));
      }
    }
    for (Node node : nodes.values()) {
      if (isUp(node)) {
        node.log.tick();
        if (wipesDisks && nowMillis % 100 < STEP_MILLIS) {
          repairReplicaSet(node);
        }
        crashBeforeFlushOrFlush(node);
      }
    }
    checkInvariants();
  }

  /** A crash between the writes and the sync loses the writes and the outgoing messages. */
  private void crashBeforeFlushOrFlush(Node node) {
    if (faultsEnabled && random.nextInt(1_000) == 0) {
      crash(node);
      return;
    }
    node.log.flush();
  }

  private void checkInvariants() {
    for (Node node : nodes.values()) {
      if (node.log == null) {
        continue;
      }
      ReplicaStatus status = node.log.status();
      if (status.role() == ReplicaStatus.Role.LEADER) {
        ReplicaId existing = leaderByTerm.putIfAbsent(status.term(), node.id);
        if (existing != null && !existing.equals(node.id)) {
          throw new AssertionError("two leaders in term " + status.term());
        }
      }
      checkAppliedPrefix(node);
    }
  }

  private void checkAppliedPrefix(Node node) {
    List<String> applied = node.stateMachine.appliedCommands();
    int commonLength = Math.min(applied.size(), appliedCommands.size());
    if (!applied.subList(0, commonLength).equals(appliedCommands.subList(0, commonLength))) {
      throw new AssertionError(node.id + " applied diverging commands");
    }
    if (applied.size() > appliedCommands.size()) {
      appliedCommands.addAll(applied.subList(appliedCommands.size(), applied.size()));
    }
  }

  /** Returns the commands whose proposals completed normally. */
  Set<String> acknowledgedCommands() {
    return acknowledgedCommands;
  }

  /** Returns the commands in the order in which every replica applies them. */
  List<String> appliedCommands() {
    return appliedCommands;
  }

  /** Returns the status of every replica, for the message of a failed assertion. */
  String describe() {
    StringBuilder statuses = new StringBuilder();
    nodes.values().forEach(node -> statuses.append(node.log.status()).append('\n'));
    return statuses.toString();
  }

  /** Returns whether all replicas applied the same commands. */
  boolean isConverged() {
    return nodes.values().stream()
        .allMatch(node -> node.stateMachine.appliedCommands().equals(appliedCommands));
  }
}
