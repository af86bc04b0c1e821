package org.toucansaddle.coordination.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.coordination.membership.Member.State;
import org.toucansaddle.coordination.membership.Membership;
import org.toucansaddle.coordination.membership.MembershipSettings;
import org.toucansaddle.coordination.membership.MembershipTransport;
import org.toucansaddle.coordination.membership.ProbeMessage;
import org.toucansaddle.coordination.membership.ProbeMessage.Kind;

/**
 * SWIM membership protocol with suspicion and incarnations.
 *
 * <p>Invariant: the state of a member only changes to a higher incarnation or, within an
 * incarnation, in the order of {@link State}. Dead members are still probed occasionally, so that
 * the end of a partition is detected. Not thread-safe.
 */
public final class SwimMembership implements Membership {

  private static final int PERIODS_PER_DEAD_PROBE = 3;

  /** Subject of a relayed ping: address of the requester and sequence number of its probe. */
  private static final Pattern RELAY_ORIGIN = Pattern.compile("(\\S+) (\\d{1,18})");

  /** A probe without an answer; {@code skipRelays} if no relays are to be requested for it. */
  private record Probe(String target, long sentAtMillis, boolean skipRelays) {}

  private final MembershipSettings settings;
  private final List<String> seeds;
  private final MembershipTransport transport;
  private final SplittableRandom random;
  private final Consumer<Collection<Member>> onChange;
  private final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Long> suspectedAtMillis = new HashMap<>();
  private final Map<String, Long> departedAtMillis = new HashMap<>();
  private final Map<Long, Probe> pendingProbes = new HashMap<>();
  private final List<String> probeRotation = new ArrayList<>();
  private final UpdateQueue updateQueue = new UpdateQueue();
  private Member self;
  private long nextSequence = 1;
  private long nextProbeAtMillis = Long.MIN_VALUE;
  private long periodCount;

  /** Creates a membership that contains only {@code self}. */
  public SwimMembership(
      MembershipSettings settings,
      Member self,
      List<String> seeds,
      MembershipTransport transport,
      SplittableRandom random,
      Consumer<Collection<Member>> onChange) {
    this.settings = settings;
    this.self = self;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
    this.transport = transport;
    this.random = random;
    this.onChange = onChange;
    members.put(self.name(), self);
  }

  @Override
  public void tick(long nowMillis) {
    checkProbeTimeouts(nowMillis);
    expireSuspicions(nowMillis);
    if (nowMillis < nextProbeAtMillis) {
      return;
    }
    nextProbeAtMillis = nowMillis + settings.probePeriodMillis();
    periodCount++;
    evictDeparted(nowMillis);
    joinUnknownSeeds();
    probeNext(nowMillis);
    if (periodCount % PERIODS_PER_DEAD_PROBE == 0) {
      selectRandom(1, member -> member.state() == State.DEAD)
          .forEach(dead -> ping(dead, "", nowMillis, true));
    }
  }

  private void evictDeparted(long nowMillis) {
    List<String> evicted =
        departedAtMillis.entrySet().stream()
            .filter(
                departed -> nowMillis - departed.getValue() > settings.departedRetentionMillis())
            .map(Map.Entry::getKey)
            .toList();
    if (evicted.isEmpty()) {
      return;
    }
    evicted.forEach(members::remove);
    evicted.forEach(departedAtMillis::remove);
    onChange.accept(members());
  }

  private void joinUnknownSeeds() {
    for (String seed : seeds) {
      boolean known = members.values().stream().anyMatch(m -> m.address().equals(seed));
      if (!known) {
        transport.send(seed, message(Kind.JOIN, 0, "", List.of(self)));
      }
    }
  }

  private void probeNext(long nowMillis) {
    while (!probeRotation.isEmpty()) {
      Member member = members.get(probeRotation.remove(probeRotation.size() - 1));
      if (isProbeTarget(member)) {
        ping(member, "", nowMillis, false);
        return;
      }
    }
    for (Member member : members.values()) {
      if (isProbeTarget(member)) {
        probeRotation.add(member.name());
      }
    }
    Collections.shuffle(probeRotation, new Random(random.nextLong()));
    if (!probeRotation.isEmpty()) {
      ping(members.get(probeRotation.remove(probeRotation.size() - 1)), "", nowMillis, false);
    }
  }

  private boolean isProbeTarget(Member member) {
    return member != null && member.isLive() && !member.name().equals(self.name());
  }

  /**
   * Probes a member. A target that is not alive receives its own state, so that it can refute it.
   */
  private void ping(Member target, String relayOrigin, long nowMillis, boolean skipRelays) {
    long sequence = nextSequence++;
    if (relayOrigin.isEmpty()) {
      pendingProbes.put(sequence, new Probe(target.name(), nowMillis, skipRelays));
    }
    List<Member> updates = new ArrayList<>(nextUpdates());
    if (target.state() != State.ALIVE) {
      updates.add(target);
    }
    transport.send(target.address(), message(Kind.PING, sequence, relayOrigin, updates));
  }

  private void checkProbeTimeouts(long nowMillis) {
    List<Map.Entry<Long, Probe>> unanswered = List.copyOf(pendingProbes.entrySet());
    for (Map.Entry<Long, Probe> entry : unanswered) {
      Probe probe = entry.getValue();
      long ageMillis = nowMillis - probe.sentAtMillis();
      if (!probe.skipRelays() && ageMillis > settings.probeTimeoutMillis()) {
        requestRelayedProbes(entry.getKey(), probe);
      } else if (ageMillis > settings.probePeriodMillis()) {
        pendingProbes.remove(entry.getKey());
        suspect(probe.target(), nowMillis);
      }
    }
  }

  private void requestRelayedProbes(long sequence, Probe probe) {
    pendingProbes.put(sequence, new Probe(probe.target(), probe.sentAtMillis(), true));
    selectRandom(
            settings.relaysPerProbe(),
            m -> m.state() == State.ALIVE && !m.name().equals(probe.target()))
        .forEach(
            relay ->
                transport.send(
                    relay.address(),
                    message(Kind.PING_REQUEST, sequence, probe.target(), nextUpdates())));
  }

  private List<Member> selectRandom(int count, Predicate<Member> filter) {
    List<Member> candidates = new ArrayList<>();
    for (Member member : members.values()) {
      if (!member.name().equals(self.name()) && filter.test(member)) {
        candidates.add(member);
      }
    }
    Collections.shuffle(candidates, new Random(random.nextLong()));
    return candidates.subList(0, Math.min(count, candidates.size()));
  }

  /** Reconnects in any case, because a broken connection may be the only fault. */
  private void suspect(String name, long nowMillis) {
    Member member = members.get(name);
    if (member == null) {
      return;
    }
    transport.reconnect(member.address());
    if (member.state() == State.ALIVE) {
      applyUpdate(member.withState(State.SUSPECT), nowMillis);
    }
  }

  private void expireSuspicions(long nowMillis) {
    for (Map.Entry<String, Long> entry : List.copyOf(suspectedAtMillis.entrySet())) {
      if (nowMillis - entry.getValue() > settings.suspicionTimeoutMillis()) {
        applyUpdate(members.get(entry.getKey()).withState(State.DEAD), nowMillis);
      }
    }
  }

  @Override
  public void receive(String fromAddress, ProbeMessage message, long nowMillis) {
    message.updates().forEach(update -> applyUpdate(update, nowMillis));
    switch (message.kind()) {
      case PING ->
          transport.send(
              fromAddress, message(Kind.ACK, message.sequence(), message.subject(), nextUpdates()));
      case ACK -> onAck(fromAddress, message);
      case PING_REQUEST -> relayProbe(fromAddress, message, nowMillis);
      case JOIN -> {
        List<Member> allMembers = List.copyOf(members.values());
        transport.send(fromAddress, message(Kind.JOIN_REPLY, 0, "", allMembers));
      }
      case JOIN_REPLY -> {
        // The reply carries only updates, which are applied above.
      }
      default -> throw new IllegalStateException("unknown message kind " + message.kind());
    }
  }

  private void relayProbe(String fromAddress, ProbeMessage message, long nowMillis) {
    Member target = members.get(message.subject());
    if (target != null) {
      String relayOrigin = fromAddress + " " + message.sequence();
      ping(target, relayOrigin, nowMillis, true);
    }
  }

  private void onAck(String fromAddress, ProbeMessage message) {
    if (!message.subject().isEmpty()) {
      forwardAck(message);
      return;
    }
    Probe probe = pendingProbes.remove(message.sequence());
    Member target = probe == null ? null : members.get(probe.target());
    boolean ackedByRelayOnly = target != null && !target.address().equals(fromAddress);
    if (ackedByRelayOnly) {
      transport.reconnect(target.address());
    }
  }

  private void forwardAck(ProbeMessage message) {
    Matcher relayOrigin = RELAY_ORIGIN.matcher(message.subject());
    if (relayOrigin.matches()) {
      long sequence = Long.parseLong(relayOrigin.group(2));
      transport.send(relayOrigin.group(1), message(Kind.ACK, sequence, "", nextUpdates()));
    }
  }

  private void applyUpdate(Member update, long nowMillis) {
    if (update.name().equals(self.name())) {
      refute(update);
      return;
    }
    Member known = members.get(update.name());
    if (known != null && !update.supersedes(known)) {
      requeueIfOutdated(update, known);
      return;
    }
    members.put(update.name(), update);
    if (update.state() == State.SUSPECT) {
      suspectedAtMillis.put(update.name(), nowMillis);
    } else {
      suspectedAtMillis.remove(update.name());
    }
    if (update.isLive()) {
      departedAtMillis.remove(update.name());
    } else {
      departedAtMillis.putIfAbsent(update.name(), nowMillis);
    }
    updateQueue.add(update);
    onChange.accept(members());
  }

  /** Disseminates the newer state again, because the sender of an outdated one missed it. */
  private void requeueIfOutdated(Member outdated, Member known) {
    if (known.supersedes(outdated)) {
      updateQueue.add(known);
    }
  }

  private void refute(Member update) {
    boolean newer = update.incarnation() > self.incarnation();
    boolean suspected = update.incarnation() == self.incarnation() && update.state() != State.ALIVE;
    if (update.incarnation() < self.incarnation()) {
      updateQueue.add(self);
    }
    if ((newer || suspected) && self.state() == State.ALIVE) {
      self = self.withIncarnation(update.incarnation() + 1);
      members.put(self.name(), self);
      updateQueue.add(self);
      onChange.accept(members());
    }
  }

  @Override
  public void leave() {
    self = self.withState(State.LEFT);
    members.put(self.name(), self);
    updateQueue.add(self);
    selectRandom(Integer.MAX_VALUE, Member::isLive)
        .forEach(
            member -> transport.send(member.address(), message(Kind.PING, 0, "", List.of(self))));
  }

  @Override
  public Collection<Member> members() {
    return List.copyOf(members.values());
  }

  @Override
  public Member self() {
    return self;
  }

  private List<Member> nextUpdates() {
    return updateQueue.nextUpdates(settings.maxUpdatesPerMessage(), members.size());
  }

  private static ProbeMessage message(
      Kind kind, long sequence, String subject, List<Member> updates) {
    return new ProbeMessage(kind, sequence, subject, updates);
  }
}
