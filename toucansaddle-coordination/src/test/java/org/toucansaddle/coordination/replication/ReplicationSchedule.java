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
final class ReplicationSchedule {

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
    private RecordingMachine machine;
    private ReplicatedLog log;
    private long downUntil;
    private long frozenUntil;

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
  private final Set<String> accepted = new HashSet<>();
  private final List<String> history = new ArrayList<>();
  private Set<ReplicaId> cutOff = Set.of();
  private long cutUntil;
  private boolean faulty;
  private boolean calm;
  private boolean wiping;
  private int wiped;
  private long wholeAt;
  private long now = 1;
  private long order;
  private int proposals;

  ReplicationSchedule(long seed, int replicas) {
    this.random = new SplittableRandom(seed);
    ReplicaSet voters = ReplicaSet.empty();
    for (int i = 1; i <= replicas; i++) {
      voters = voters.withPromoted(new ReplicaId("replica-" + i, i));
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
    node.machine = new RecordingMachine();
    node.log =
        Coordination.replicatedLog(
            SETTINGS,
            node.id,
            node.disk,
            node.machine,
            (to, message) -> send(node.id, to, message),
            () -> now,
            random.split());
  }

  private void send(ReplicaId from, ReplicaId to, RaftMessage message) {
    boolean cut = cutOff.contains(from) != cutOff.contains(to);
    if (calm) {
      network.add(new Delivery(now + random.nextInt(5), order++, from, to, message));
      return;
    }
    if (cut || random.nextInt(100) < 5) {
      return;
    }
    int copies = random.nextInt(100) < 3 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = random.nextInt(100) < 5 ? random.nextInt(400) : random.nextInt(15);
      network.add(new Delivery(now + delay, order++, from, to, message));
    }
  }

  /** Lets disks be lost, too: less than half of them at once, as long as all hold everything. */
  ReplicationSchedule withWipedDisks() {
    wiping = true;
    return this;
  }

  /** Returns how many disks were lost. */
  int wiped() {
    return wiped;
  }

  private void wipeSome() {
    List<Node> all = new ArrayList<>(nodes.values());
    int most = (all.size() - 1) / 2;
    for (int i = 1 + random.nextInt(most); i > 0; i--) {
      Node node = all.remove(random.nextInt(all.size()));
      nodes.remove(node.id);
      node.id = new ReplicaId(node.id.name(), node.id.folderId() + 100);
      node.disk = new SimulatedDisk();
      node.downUntil = now + random.nextInt(500);
      nodes.put(node.id, node);
      start(node);
      wiped++;
    }
  }

  /**
   * Returns whether all replicas were voters and held all that was committed in the last second.
   */
  boolean wasWholeLately() {
    return now - wholeAt < SETTLE_MILLIS;
  }

  private boolean isWhole() {
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
  private void repair(Node node) {
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
        ReplicaSet without = set.voterNamed(learner.name()).map(set::without).orElse(null);
        node.log.proposeMembers(without == null ? set.withPromoted(learner) : without);
        return;
      }
    }
  }

  /** Runs with faults, then without, and checks what must hold all the way. */
  void run(long faultMillis, long calmMillis) {
    long faultsEnd = now + faultMillis;
    long end = faultsEnd + calmMillis;
    while (now < end) {
      faulty = now < faultsEnd;
      if (faulty) {
        injectFaults();
      } else {
        heal();
      }
      if (now < end - SETTLE_MILLIS) {
        propose();
      }
      step();
      wholeAt = wiping && isWhole() ? now : wholeAt;
      now += STEP_MILLIS;
    }
  }

  /**
   * Takes the power from all replicas; some never come back, the others start within a time.
   *
   * @return time from the last start to the first leader, in milliseconds
   */
  long millisToALeaderAfterPowerLoss(int lost, int startsWithinMillis) {
    calm = true;
    network.clear();
    heal();
    long lastStart = now;
    int index = 0;
    for (Node node : nodes.values()) {
      boolean stays = index++ < lost;
      node.downUntil = stays ? Long.MAX_VALUE : now + random.nextInt(startsWithinMillis);
      lastStart = stays ? lastStart : Math.max(lastStart, node.downUntil);
      node.disk.crash();
      node.log = null;
    }
    while (nodes.values().stream().noneMatch(this::leads)) {
      for (Node node : nodes.values()) {
        if (node.log == null && isUp(node)) {
          start(node);
        }
      }
      if (now > lastStart + 60_000) {
        throw new AssertionError("no leader after a minute");
      }
      step();
      now += STEP_MILLIS;
    }
    return now - lastStart;
  }

  private boolean leads(Node node) {
    return node.log != null && node.log.status().role() == ReplicaStatus.Role.LEADER;
  }

  private void heal() {
    cutOff = Set.of();
    nodes.values().forEach(node -> node.downUntil = Math.min(node.downUntil, now));
    nodes.values().forEach(node -> node.frozenUntil = Math.min(node.frozenUntil, now));
  }

  private void injectFaults() {
    if (now > cutUntil) {
      cutOff = Set.of();
    }
    if (wiping && random.nextInt(100) == 0 && isWhole()) {
      wipeSome();
    }
    int draw = random.nextInt(1_000);
    Node victim = pick();
    if (draw < 8) {
      crash(victim);
    } else if (draw < 14) {
      victim.frozenUntil = now + random.nextInt(1_500);
    } else if (draw < 20) {
      cutOff = Set.of(victim.id);
      cutUntil = now + random.nextInt(2_000);
    }
  }

  private Node pick() {
    List<Node> all = new ArrayList<>(nodes.values());
    return all.get(random.nextInt(all.size()));
  }

  private void crash(Node node) {
    node.disk.crash();
    node.downUntil = now + random.nextInt(1_000);
    start(node);
  }

  private void propose() {
    if (random.nextInt(4) > 0) {
      return;
    }
    Node node = pick();
    if (!isUp(node)) {
      return;
    }
    String command = "command-" + proposals++;
    node.log
        .propose(command.getBytes(StandardCharsets.UTF_8))
        .thenAccept(result -> accepted.add(command));
  }

  private boolean isUp(Node node) {
    return now >= node.downUntil && now >= node.frozenUntil;
  }

  private void step() {
    while (!network.isEmpty() && network.peek().at() <= now) {
      Delivery delivery = network.poll();
      Node node = nodes.get(delivery.to());
      if (node == null) {
        continue;
      }
      if (isUp(node)) {
        node.log.receive(delivery.from(), delivery.message());
      } else if (now >= node.downUntil) {
        network.add(
            new Delivery(
                node.frozenUntil, order++, delivery.from(), delivery.to(), delivery.message()));
      }
    }
    for (Node node : nodes.values()) {
      if (isUp(node)) {
        node.log.tick();
        if (wiping && now % 100 < STEP_MILLIS) {
          repair(node);
        }
        crashBeforeFlushOrFlush(node);
      }
    }
    check();
  }

  /** A crash between the writes and the sync loses both the writes and the messages. */
  private void crashBeforeFlushOrFlush(Node node) {
    if (faulty && random.nextInt(1_000) == 0) {
      crash(node);
      return;
    }
    node.log.flush();
  }

  private void check() {
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
      checkPrefix(node);
    }
  }

  private void checkPrefix(Node node) {
    List<String> applied = node.machine.applied();
    int common = Math.min(applied.size(), history.size());
    if (!applied.subList(0, common).equals(history.subList(0, common))) {
      throw new AssertionError(node.id + " applied another history");
    }
    if (applied.size() > history.size()) {
      history.addAll(applied.subList(history.size(), applied.size()));
    }
  }

  /** Returns the commands whose proposers were told that they were accepted. */
  Set<String> accepted() {
    return accepted;
  }

  /** Returns the commands in the order every replica applies them. */
  List<String> history() {
    return history;
  }

  /** Describes every replica, for the message of a failed check. */
  String describe() {
    StringBuilder text = new StringBuilder();
    nodes.values().forEach(node -> text.append(node.log.status()).append('\n'));
    return text.toString();
  }

  /** Returns whether all replicas applied the same commands. */
  boolean isConverged() {
    return nodes.values().stream().allMatch(node -> node.machine.applied().equals(history));
  }
}
