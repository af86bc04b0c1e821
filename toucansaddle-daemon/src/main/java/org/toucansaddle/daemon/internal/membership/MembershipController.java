package org.toucansaddle.daemon.internal.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.coordination.membership.Membership;
import org.toucansaddle.coordination.membership.MembershipSettings;
import org.toucansaddle.coordination.membership.MembershipTransport;
import org.toucansaddle.coordination.membership.ProbeMessage;
import org.toucansaddle.coordination.retry.StrikeTable;
import org.toucansaddle.coordination.retry.StrikeTable.Strikes;
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.daemon.internal.control.ConfigurationFollower;
import org.toucansaddle.daemon.internal.control.FleetDirectory;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.protocol.generated.PeerMessage;
import org.toucansaddle.protocol.generated.Probe;
import org.toucansaddle.protocol.generated.Strike;
import org.toucansaddle.protocol.generated.StrikeNotice;

/**
 * Runs the membership protocol over the peer connections.
 *
 * <p>Its probes also carry the configuration's revision, its latest confirmation and the newest
 * strikes of requests. Not thread-safe: used on the control thread only.
 */
public final class MembershipController implements MembershipTransport {

  private static final Logger LOG = LoggerFactory.getLogger(MembershipController.class);
  private static final int MAX_STRIKES_PER_PROBE = 8;

  private final Member self;
  private final Membership membership;
  private final FleetDirectory directory;
  private final PeerClients clients;
  private final ConfigurationHolder holder;
  private final ConfigurationFollower follower;
  private final StrikeTable strikes;
  private final LongSupplier clockMillis;
  private final Runnable onChange;

  /**
   * Creates a controller that joins the fleet through the seeds.
   *
   * @param seeds peer addresses of some daemons of the fleet
   * @param clockMillis supplies milliseconds of the clock of the membership protocol and strikes
   * @param onChange called after each change of the members
   */
  public MembershipController(
      Member self,
      List<String> seeds,
      FleetDirectory directory,
      PeerClients clients,
      ConfigurationHolder holder,
      ConfigurationFollower follower,
      StrikeTable strikes,
      LongSupplier clockMillis,
      Runnable onChange) {
    this.self = self;
    this.directory = directory;
    this.clients = clients;
    this.holder = holder;
    this.follower = follower;
    this.strikes = strikes;
    this.clockMillis = clockMillis;
    this.onChange = onChange;
    directory.setMembers(List.of(self));
    this.membership =
        Membership.create(
            MembershipSettings.defaults(),
            self,
            seeds,
            this,
            new SplittableRandom(),
            this::handleMemberChange);
  }

  private void handleMemberChange(Collection<Member> members) {
    directory.setMembers(members);
    LOG.info(
        "members: {}",
        members.stream().map(member -> member.name() + "=" + member.state()).toList());
    onChange.run();
  }

  @Override
  public void send(String address, ProbeMessage message) {
    long confirmedAgeMillis = holder.confirmedAgeMillis(System.nanoTime());
    Probe.Builder probe =
        ProbeCodec.encode(message)
            .setRevision(holder.current().revision())
            .setConfirmedRevision(holder.current().revision())
            .setConfirmedAgeMillis((int) Math.min(Integer.MAX_VALUE, confirmedAgeMillis));
    long nowMillis = clockMillis.getAsLong();
    strikes
        .newest(MAX_STRIKES_PER_PROBE, nowMillis)
        .forEach(strikeRecord -> probe.addStrikes(encode(strikeRecord, nowMillis)));
    clients.send(address, PeerMessage.newBuilder().setProbe(probe).build());
  }

  private static Strike encode(Strikes strikes, long nowMillis) {
    return Strike.newBuilder()
        .setDigest(strikes.digest())
        .setCount(strikes.count())
        .setAgeMillis((int) (nowMillis - strikes.atMillis()))
        .addAllIds(strikes.ids())
        .build();
  }

  /**
   * Sends a request's strikes to every live daemon at once, without waiting for the next probes.
   */
  public void broadcastStrikes(long digest) {
    long nowMillis = clockMillis.getAsLong();
    Optional<Strikes> recorded = strikes.find(digest);
    if (recorded.isEmpty()) {
      return;
    }
    StrikeNotice notice =
        StrikeNotice.newBuilder().addStrikes(encode(recorded.get(), nowMillis)).build();
    PeerMessage message = PeerMessage.newBuilder().setStrikes(notice).build();
    directory.liveMembers().stream()
        .filter(member -> !member.name().equals(self.name()))
        .forEach(member -> clients.send(member.address(), message));
  }

  /** Merges strikes that another daemon reported. */
  public void onStrikeNotice(StrikeNotice notice) {
    mergeStrikes(notice.getStrikesList(), clockMillis.getAsLong());
  }

  private void mergeStrikes(List<Strike> reported, long nowMillis) {
    for (Strike strike : reported) {
      long atMillis = nowMillis - strike.getAgeMillis();
      Set<Long> ids = Set.copyOf(strike.getIdsList());
      strikes.merge(new Strikes(strike.getDigest(), strike.getCount(), atMillis, ids), nowMillis);
    }
  }

  @Override
  public void reconnect(String address) {
    clients.reconnect(address);
  }

  /** Handles a probe of another daemon. */
  public void onProbe(PeerIdentity from, Probe probe) {
    long nowMillis = clockMillis.getAsLong();
    ProbeCodec.decode(probe)
        .ifPresent(message -> membership.receive(from.address(), message, nowMillis));
    mergeStrikes(probe.getStrikesList(), nowMillis);
    follower.onRevision(
        from.address(),
        probe.getRevision(),
        probe.getConfirmedRevision(),
        probe.getConfirmedAgeMillis());
  }

  /** Sends the probes that are due and checks the time-outs of pending ones. */
  public void tick() {
    membership.tick(clockMillis.getAsLong());
  }

  /** Notifies the other members that this daemon leaves. */
  public void leave() {
    membership.leave();
  }
}
