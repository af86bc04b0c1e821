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
 * SWIM with suspicion and incarnations.
 *
 * <p>Invariant: what is known of a member only moves to a higher incarnation, or within one from
 * alive to suspect to dead. Dead members are probed now and then, so that a healed partition is
 * noticed. Not thread-safe.
 */
public final class SwimMembership implements Membership {

  private static final int PERIODS_PER_DEAD_PROBE = 3;

  /** Address and sequence number of the member on whose behalf a ping was relayed. */
  private static final Pattern RELAY_ORIGIN = Pattern.compile("(\\S+) (\\d{1,18})");

  private record Probe(String target, long sentAt, boolean relayed) {}

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

  /** Creates a member that knows only itself. */
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
  public void tick(long now) {
    checkProbeTimeouts(now);
    expireSuspicions(now);
    if (now < nextProbeAtMillis) {
      return;
    }
    nextProbeAtMillis = now + settings.periodMillis();
    periodCount++;
    evictDeparted(now);
    joinUnknownSeeds();
    probeNext(now);
    if (periodCount % PERIODS_PER_DEAD_PROBE == 0) {
      selectRandom(1, member -> member.state() == State.DEAD)
          .forEach(dead -> ping(dead, "", now, true));
    }
  }

  private void evictDeparted(long now) {
    List<String> forgotten =
        departedAtMillis.entrySet().stream()
            .filter(gone -> now - gone.getValue() > settings.forgetMillis())
            .map(Map.Entry::getKey)
            .toList();
    if (forgotten.isEmpty()) {
      return;
    }
    forgotten.forEach(members::remove);
    forgotten.forEach(departedAtMillis::remove);
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

  private void probeNext(long now) {
    while (!probeRotation.isEmpty()) {
      Member member = members.get(probeRotation.remove(probeRotation.size() - 1));
      if (isProbeTarget(member)) {
        ping(member, "", now, false);
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
      ping(members.get(probeRotation.remove(probeRotation.size() - 1)), "", now, false);
    }
  }

  private boolean isProbeTarget(Member member) {
    return member != null && member.isLive() && !member.name().equals(self.name());
  }

  /** Probes a member; one that is not believed alive is told so, that it can refute. */
  private void ping(Member target, String onBehalfOf, long now, boolean relayed) {
    long sequence = nextSequence++;
    if (onBehalfOf.isEmpty()) {
      pendingProbes.put(sequence, new Probe(target.name(), now, relayed));
    }
    List<Member> updates = new ArrayList<>(nextUpdates());
    if (target.state() != State.ALIVE) {
      updates.add(target);
    }
    transport.send(target.address(), message(Kind.PING, sequence, onBehalfOf, updates));
  }

  private void checkProbeTimeouts(long now) {
    List<Map.Entry<Long, Probe>> open = List.copyOf(pendingProbes.entrySet());
    for (Map.Entry<Long, Probe> entry : open) {
      Probe probe = entry.getValue();
      long age = now - probe.sentAt();
      if (!probe.relayed() && age > settings.probeTimeoutMillis()) {
        requestRelayedProbes(entry.getKey(), probe);
      } else if (age > settings.periodMillis()) {
        pendingProbes.remove(entry.getKey());
        suspect(probe.target(), now);
      }
    }
  }

  private void requestRelayedProbes(long sequence, Probe probe) {
    pendingProbes.put(sequence, new Probe(probe.target(), probe.sentAt(), true));
    selectRandom(
            settings.relays(), m -> m.state() == State.ALIVE && !m.name().equals(probe.target()))
        .forEach(
            relay ->
                transport.send(
                    relay.address(),
                    message(Kind.PING_REQUEST, sequence, probe.target(), nextUpdates())));
  }

  private List<Member> selectRandom(int count, Predicate<Member> test) {
    List<Member> candidates = new ArrayList<>();
    for (Member member : members.values()) {
      if (!member.name().equals(self.name()) && test.test(member)) {
        candidates.add(member);
      }
    }
    Collections.shuffle(candidates, new Random(random.nextLong()));
    return candidates.subList(0, Math.min(count, candidates.size()));
  }

  /** The connection is opened anew whatever others say: it may be all that is wrong. */
  private void suspect(String name, long now) {
    Member member = members.get(name);
    if (member == null) {
      return;
    }
    transport.reconnect(member.address());
    if (member.state() == State.ALIVE) {
      applyUpdate(member.withState(State.SUSPECT), now);
    }
  }

  private void expireSuspicions(long now) {
    for (Map.Entry<String, Long> entry : List.copyOf(suspectedAtMillis.entrySet())) {
      if (now - entry.getValue() > settings.suspicionMillis()) {
        applyUpdate(members.get(entry.getKey()).withState(State.DEAD), now);
      }
    }
  }

  @Override
  public void receive(String fromAddress, ProbeMessage message, long now) {
    message.updates().forEach(update -> applyUpdate(update, now));
    switch (message.kind()) {
      case PING ->
          transport.send(
              fromAddress, message(Kind.ACK, message.sequence(), message.subject(), nextUpdates()));
      case ACK -> onAck(fromAddress, message);
      case PING_REQUEST -> relayProbe(fromAddress, message, now);
      case JOIN -> {
        List<Member> all = List.copyOf(members.values());
        transport.send(fromAddress, message(Kind.JOIN_REPLY, 0, "", all));
      }
      case JOIN_REPLY -> {
        // The updates were all there is to learn.
      }
      default -> throw new IllegalStateException("unknown kind " + message.kind());
    }
  }

  private void relayProbe(String fromAddress, ProbeMessage message, long now) {
    Member target = members.get(message.subject());
    if (target != null) {
      String behalf = fromAddress + " " + message.sequence();
      ping(target, behalf, now, true);
    }
  }

  private void onAck(String fromAddress, ProbeMessage message) {
    if (!message.subject().isEmpty()) {
      forwardAck(message);
      return;
    }
    Probe probe = pendingProbes.remove(message.sequence());
    Member target = probe == null ? null : members.get(probe.target());
    boolean onlyRelaysReachIt = target != null && !target.address().equals(fromAddress);
    if (onlyRelaysReachIt) {
      transport.reconnect(target.address());
    }
  }

  private void forwardAck(ProbeMessage message) {
    Matcher behalf = RELAY_ORIGIN.matcher(message.subject());
    if (behalf.matches()) {
      long sequence = Long.parseLong(behalf.group(2));
      transport.send(behalf.group(1), message(Kind.ACK, sequence, "", nextUpdates()));
    }
  }

  private void applyUpdate(Member update, long now) {
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
      suspectedAtMillis.put(update.name(), now);
    } else {
      suspectedAtMillis.remove(update.name());
    }
    if (update.isLive()) {
      departedAtMillis.remove(update.name());
    } else {
      departedAtMillis.putIfAbsent(update.name(), now);
    }
    updateQueue.add(update);
    onChange.accept(members());
  }

  /** Whoever believes what is outdated missed the news, so it is told again. */
  private void requeueIfOutdated(Member outdated, Member known) {
    if (known.supersedes(outdated)) {
      updateQueue.add(known);
    }
  }

  private void refute(Member update) {
    boolean newer = update.incarnation() > self.incarnation();
    boolean doubted = update.incarnation() == self.incarnation() && update.state() != State.ALIVE;
    if (update.incarnation() < self.incarnation()) {
      updateQueue.add(self);
    }
    if ((newer || doubted) && self.state() == State.ALIVE) {
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
    return updateQueue.nextUpdates(settings.updatesPerMessage(), members.size());
  }

  private static ProbeMessage message(
      Kind kind, long sequence, String subject, List<Member> updates) {
    return new ProbeMessage(kind, sequence, subject, updates);
  }
}
