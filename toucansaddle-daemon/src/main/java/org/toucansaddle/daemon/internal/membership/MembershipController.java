package org.toucansaddle.daemon.internal.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
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
 * Runs the membership protocol; its probes also carry the configuration's revision and strikes.
 *
 * <p>Used on the control thread only.
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

  /** Creates a member that joins by the seeds. */
  public MembershipController(
      Member self,
      List<String> seeds,
      FleetDirectory directory,
      PeerClients clients,
      ConfigurationHolder holder,
      ConfigurationFollower follower,
      StrikeTable strikes,
      LongSupplier clock,
      Runnable onChange) {
    this.self = self;
    this.directory = directory;
    this.clients = clients;
    this.holder = holder;
    this.follower = follower;
    this.strikes = strikes;
    this.clockMillis = clock;
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
    LOG.info("members: {}", members.stream().map(m -> m.name() + "=" + m.state()).toList());
    onChange.run();
  }

  @Override
  public void send(String address, ProbeMessage message) {
    long age = holder.confirmedAgeMillis(System.nanoTime());
    Probe.Builder probe =
        ProbeCodec.encode(message)
            .setRevision(holder.current().revision())
            .setConfirmedRevision(holder.current().revision())
            .setConfirmedAgeMillis((int) Math.min(Integer.MAX_VALUE, age));
    long now = clockMillis.getAsLong();
    strikes.newest(MAX_STRIKES_PER_PROBE, now).forEach(s -> probe.addStrikes(encode(s, now)));
    clients.send(address, PeerMessage.newBuilder().setProbe(probe).build());
  }

  private static Strike encode(Strikes strikes, long now) {
    return Strike.newBuilder()
        .setDigest(strikes.digest())
        .setCount(strikes.count())
        .setAgeMillis((int) (now - strikes.atMillis()))
        .build();
  }

  /** Tells every live daemon of a request's strikes without waiting for the next probes. */
  public void broadcastStrikes(long digest) {
    long now = clockMillis.getAsLong();
    Optional<Strikes> struck = strikes.find(digest);
    if (struck.isEmpty()) {
      return;
    }
    StrikeNotice notice = StrikeNotice.newBuilder().addStrikes(encode(struck.get(), now)).build();
    PeerMessage message = PeerMessage.newBuilder().setStrikes(notice).build();
    directory.liveMembers().stream()
        .filter(member -> !member.name().equals(self.name()))
        .forEach(member -> clients.send(member.address(), message));
  }

  /** Takes strikes that another daemon counted. */
  public void onStrikeNotice(StrikeNotice notice) {
    mergeStrikes(notice.getStrikesList(), clockMillis.getAsLong());
  }

  private void mergeStrikes(List<Strike> counted, long now) {
    for (Strike strike : counted) {
      strikes.merge(strike.getDigest(), strike.getCount(), now - strike.getAgeMillis(), now);
    }
  }

  @Override
  public void reconnect(String address) {
    clients.reconnect(address);
  }

  /** Handles a probe of another daemon. */
  public void onProbe(PeerIdentity from, Probe probe) {
    long now = clockMillis.getAsLong();
    ProbeCodec.decode(probe).ifPresent(message -> membership.receive(from.address(), message, now));
    mergeStrikes(probe.getStrikesList(), now);
    follower.onRevision(
        from.address(),
        probe.getRevision(),
        probe.getConfirmedRevision(),
        probe.getConfirmedAgeMillis());
  }

  /** Probes what is due. */
  public void tick() {
    membership.tick(clockMillis.getAsLong());
  }

  /** Tells the others that this daemon leaves. */
  public void leave() {
    membership.leave();
  }
}
