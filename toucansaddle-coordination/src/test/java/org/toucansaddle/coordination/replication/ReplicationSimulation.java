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
 * Replicas driven by one seed through loss, delay, reorder, repetition, cuts, freezes, crashes
 * before a sync, and wiped disks. Used by one thread.
 */
final class ReplicationSimulation {

  private static final int STEP_MILLIS = 10;
  private static final int SETTLE_MILLIS = 1_000;
  private static final ReplicationSettings SETTINGS =
      ReplicationSettings.defaults()
          .withHeartbeatMillis(50)
          .withElectionTimeoutMillis(200)
          .withSnapshotEntries(15);

  private record Delivery(long at, long order, ReplicaId from, ReplicaId to, RaftMessage message) {}

  /** One replica with its disk. */
  private static final class Node {
    private ReplicaId id;
    private SimulatedDisk disk = new SimulatedDisk();
    private RecordingStateMachine machine;
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
          Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::order));
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
    node.machine = new RecordingStateMachine();
    node.log =
        Coordination.replicatedLog(
            SETTINGS,
            node.id,
            node.disk,
            node.machine,
            (to, message) -> send(node.id, to, message),
            () -> nowMillis,
            random.split());
  }

  private void send(ReplicaId from, ReplicaId to, RaftMessage message) {
    boolean cut = partitioned.contains(from) != partitioned.contains(to);
    if (networkReliable) {
      network.add(
          new Delivery(nowMillis + random.nextInt(5), nextDeliverySequence++, from, to, message));
      return;
    }
    if (cut || random.nextInt(100) < 5) {
      return;
    }
    int copies = random.nextInt(100) < 3 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = random.nextInt(100) < 5 ? random.nextInt(400) : random.nextInt(15);
      network.add(new Delivery(nowMillis + delay, nextDeliverySequence++, from, to, message));
    }
  }

  /** Lets disks be lost, too: less than half of them at once, as long as all hold everything. */
  ReplicationSimulation withDiskLosses() {
    wipesDisks = true;
    return this;
  }

  /** Returns how many disks were lost. */
  int wipedDisks() {
    return wipedDisks;
  }

  private void wipeRandomDisks() {
    List<Node> all = new ArrayList<>(nodes.values());
    int most = (all.size() - 1) / 2;
    for (int i = 1 + random.nextInt(most); i > 0; i--) {
      Node node = all.remove(random.nextInt(all.size()));
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
   * Returns whether all replicas were voters and held all that was committed in the last second.
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
   * What a control daemon does at the leader: lost voters are removed, new ones learn, then vote.
   */
  private void repairReplicaSet(Node node) {
    ReplicaStatus status = node.log.status();
    if (status.role() != ReplicaStatus.Role.LEADER || !status.membersCommitted()) {
      return;
    }
    ReplicaSet set = status.members();
    for (Node other : nodes.values()) {
      if (!set.contains(other.id) && isUp(other)) {
        node.log.proposeMembers(set.withLearner(other.id));
        return;
      }
    }
    for (ReplicaId learner : set.learners()) {
      boolean holdsAll =
          status.matchIndexes().getOrDefault(learner, 0L) >= status.commitIndex()
              && status.responsive().contains(learner);
      if (holdsAll) {
        ReplicaSet without = set.findVoterByName(learner.name()).map(set::without).orElse(null);
        node.log.proposeMembers(without == null ? set.withVoter(learner) : without);
        return;
      }
    }
  }

  /** Runs with faults, then without, and checks what must hold all the way. */
  void run(long faultMillis, long calmMillis) {
    long faultsEnd = nowMillis + faultMillis;
    long end = faultsEnd + calmMillis;
    while (nowMillis < end) {
      faultsEnabled = nowMillis < faultsEnd;
      if (faultsEnabled) {
        injectFaults();
      } else {
        heal();
      }
      if (nowMillis < end - SETTLE_MILLIS) {
        propose();
      }
      step();
      fullyReplicatedAtMillis =
          wipesDisks && isFullyReplicated() ? nowMillis : fullyReplicatedAtMillis;
      nowMillis += STEP_MILLIS;
    }
  }

  /**
   * Takes the power from all replicas; some never come back, the others start within a time.
   *
   * @return time from the last start to the first leader, in milliseconds
   */
  long millisToLeaderAfterPowerLoss(int lost, int startsWithinMillis) {
    networkReliable = true;
    network.clear();
    heal();
    long lastStart = nowMillis;
    int index = 0;
    for (Node node : nodes.values()) {
      boolean stays = index++ < lost;
      node.downUntilMillis =
          stays ? Long.MAX_VALUE : nowMillis + random.nextInt(startsWithinMillis);
      lastStart = stays ? lastStart : Math.max(lastStart, node.downUntilMillis);
      node.disk.crash();
      node.log = null;
    }
    while (nodes.values().stream().noneMatch(this::isLeader)) {
      for (Node node : nodes.values()) {
        if (node.log == null && isUp(node)) {
          start(node);
        }
      }
      if (nowMillis > lastStart + 60_000) {
        throw new AssertionError("no leader after a minute");
      }
      step();
      nowMillis += STEP_MILLIS;
    }
    return nowMillis - lastStart;
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
    int draw = random.nextInt(1_000);
    Node victim = selectRandomNode();
    if (draw < 8) {
      crash(victim);
    } else if (draw < 14) {
      victim.frozenUntilMillis = nowMillis + random.nextInt(1_500);
    } else if (draw < 20) {
      partitioned = Set.of(victim.id);
      partitionedUntilMillis = nowMillis + random.nextInt(2_000);
    }
  }

  private Node selectRandomNode() {
    List<Node> all = new ArrayList<>(nodes.values());
    return all.get(random.nextInt(all.size()));
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
    while (!network.isEmpty() && network.peek().at() <= nowMillis) {
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

  /** A crash between the writes and the sync loses both the writes and the messages. */
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
        ReplicaId known = leaderByTerm.putIfAbsent(status.term(), node.id);
        if (known != null && !known.equals(node.id)) {
          throw new AssertionError("two leaders in term " + status.term());
        }
      }
      checkAppliedPrefix(node);
    }
  }

  private void checkAppliedPrefix(Node node) {
    List<String> applied = node.machine.appliedCommands();
    int common = Math.min(applied.size(), appliedCommands.size());
    if (!applied.subList(0, common).equals(appliedCommands.subList(0, common))) {
      throw new AssertionError(node.id + " applied another history");
    }
    if (applied.size() > appliedCommands.size()) {
      appliedCommands.addAll(applied.subList(appliedCommands.size(), applied.size()));
    }
  }

  /** Returns the commands whose proposers were told that they were accepted. */
  Set<String> acknowledgedCommands() {
    return acknowledgedCommands;
  }

  /** Returns the commands in the order every replica applies them. */
  List<String> appliedCommands() {
    return appliedCommands;
  }

  /** Describes every replica, for the message of a failed check. */
  String describe() {
    StringBuilder text = new StringBuilder();
    nodes.values().forEach(node -> text.append(node.log.status()).append('\n'));
    return text.toString();
  }

  /** Returns whether all replicas applied the same commands. */
  boolean isConverged() {
    return nodes.values().stream()
        .allMatch(node -> node.machine.appliedCommands().equals(appliedCommands));
  }
}
