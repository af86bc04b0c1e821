package org.toucansaddle.daemon.internal.membership;

import java.util.Collection;
import java.util.List;
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
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.daemon.internal.control.ConfigurationFollower;
import org.toucansaddle.daemon.internal.control.FleetDirectory;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.protocol.generated.PeerMessage;
import org.toucansaddle.protocol.generated.Probe;
import org.toucansaddle.protocol.generated.Strike;

/**
 * Runs the membership protocol; its probes also carry the configuration's revision and strikes.
 *
 * <p>Used on the control thread only.
 */
public final class MembershipController implements MembershipTransport {

  private static final Logger LOG = LoggerFactory.getLogger(MembershipController.class);
  private static final int MAX_STRIKES = 8;

  private final Membership membership;
  private final FleetDirectory directory;
  private final PeerClients clients;
  private final ConfigurationHolder holder;
  private final ConfigurationFollower follower;
  private final StrikeTable strikes;
  private final LongSupplier clock;
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
    this.directory = directory;
    this.clients = clients;
    this.holder = holder;
    this.follower = follower;
    this.strikes = strikes;
    this.clock = clock;
    this.onChange = onChange;
    directory.set(List.of(self));
    this.membership =
        Membership.create(
            MembershipSettings.defaults(),
            self,
            seeds,
            this,
            new SplittableRandom(),
            this::changed);
  }

  private void changed(Collection<Member> members) {
    directory.set(members);
    LOG.info("members: {}", members.stream().map(m -> m.name() + "=" + m.state()).toList());
    onChange.run();
  }

  @Override
  public void send(String address, ProbeMessage message) {
    long age = holder.confirmedAgeMillis(System.nanoTime());
    Probe.Builder probe =
        ProbeWire.encode(message)
            .setRevision(holder.current().revision())
            .setConfirmedRevision(holder.current().revision())
            .setConfirmedAgeMillis((int) Math.min(Integer.MAX_VALUE, age));
    long now = clock.getAsLong();
    strikes
        .newest(MAX_STRIKES, now)
        .forEach(
            s ->
                probe.addStrikes(
                    Strike.newBuilder()
                        .setDigest(s.digest())
                        .setCount(s.count())
                        .setAgeMillis((int) (now - s.atMillis()))));
    clients.send(address, PeerMessage.newBuilder().setProbe(probe).build());
  }

  @Override
  public void reconnect(String address) {
    clients.reconnect(address);
  }

  /** Handles a probe of another daemon. */
  public void onProbe(PeerIdentity from, Probe probe) {
    long now = clock.getAsLong();
    ProbeWire.decode(probe).ifPresent(message -> membership.receive(from.address(), message, now));
    for (Strike strike : probe.getStrikesList()) {
      strikes.merge(strike.getDigest(), strike.getCount(), now - strike.getAgeMillis(), now);
    }
    follower.onRevision(
        from.address(),
        probe.getRevision(),
        probe.getConfirmedRevision(),
        probe.getConfirmedAgeMillis());
  }

  /** Probes what is due. */
  public void tick() {
    membership.tick(clock.getAsLong());
  }

  /** Tells the others that this daemon leaves. */
  public void leave() {
    membership.leave();
  }
}
