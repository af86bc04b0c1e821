package org.toucansaddle.daemon.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.daemon.internal.config.FleetConfiguration;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.PeerMethods;
import org.toucansaddle.protocol.generated.ConfigurationDelta;
import org.toucansaddle.protocol.generated.FetchConfigurationReply;
import org.toucansaddle.protocol.generated.FetchConfigurationRequest;
import org.toucansaddle.protocol.generated.PeerMessage;

/**
 * Keeps this daemon's configuration up to date.
 *
 * <p>At startup it waits for a read that a quorum confirmed. Afterwards a daemon that applies a new
 * revision gossips it to a few random members. Probes carry the sender's revision, so a daemon that
 * is behind fetches the missing changes from any member. Thread-safe.
 */
public final class ConfigurationFollower {

  private static final int GOSSIP_FAN_OUT = 2;
  private static final Duration CONFIRMED_READ_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(1);

  private final String selfName;
  private final ConfigurationHolder holder;
  private final ControlClient control;
  private final FleetDirectory directory;
  private final PeerClients clients;
  private final AtomicBoolean fetching = new AtomicBoolean();

  /** Creates a follower that gossips each change of the holder's configuration. */
  public ConfigurationFollower(
      String selfName,
      ConfigurationHolder holder,
      ControlClient control,
      FleetDirectory directory,
      PeerClients clients) {
    this.selfName = selfName;
    this.holder = holder;
    this.control = control;
    this.directory = directory;
    this.clients = clients;
    holder.addChangeListener(this::gossip);
  }

  /** Fetches the first configuration that a quorum confirms; retries until it succeeds. */
  public CompletableFuture<Void> fetchFirstConfirmed() {
    long requestedAtNanos = System.nanoTime();
    return control
        .fetchConfirmed(holder.current().revision(), CONFIRMED_READ_TIMEOUT)
        .handle((reply, failure) -> failure == null && applyConfirmed(reply, requestedAtNanos))
        .thenCompose(
            confirmed ->
                confirmed ? CompletableFuture.completedFuture(null) : this.fetchFirstConfirmed());
  }

  private boolean applyConfirmed(FetchConfigurationReply reply, long requestedAtNanos) {
    if (!holder.applyIfNewer(reply.getDelta())) {
      return false;
    }
    holder.recordConfirmation(requestedAtNanos);
    return true;
  }

  /**
   * Applies a delta that another daemon gossiped; fetches the missing changes if there is a gap.
   */
  public void onDelta(String fromAddress, ConfigurationDelta delta) {
    if (!holder.applyIfNewer(delta)) {
      fetch(fromAddress);
    }
  }

  /**
   * Handles the revisions that a probe reported.
   *
   * <p>The local revision counts as confirmed if it is not older than the sender's confirmed one.
   * {@code Integer.MAX_VALUE} means that the sender never had a confirmation.
   */
  public void onRevision(
      String fromAddress, long revision, long confirmedRevision, long confirmedAgeMillis) {
    long localRevision = holder.current().revision();
    if (revision > localRevision) {
      fetch(fromAddress);
    }
    boolean confirmsLocalRevision =
        confirmedRevision <= localRevision && confirmedAgeMillis < Integer.MAX_VALUE;
    if (confirmsLocalRevision) {
      holder.recordConfirmation(System.nanoTime() - confirmedAgeMillis * 1_000_000);
    }
  }

  private void fetch(String address) {
    if (!fetching.compareAndSet(false, true)) {
      return;
    }
    FetchConfigurationRequest request =
        FetchConfigurationRequest.newBuilder().setFromRevision(holder.current().revision()).build();
    clients
        .call(address, PeerMethods.FETCH_CONFIGURATION, request, FETCH_TIMEOUT)
        .whenComplete(
            (reply, failure) -> {
              fetching.set(false);
              if (failure == null) {
                holder.applyIfNewer(reply.getDelta());
              }
            });
  }

  private void gossip(FleetConfiguration configuration) {
    ConfigurationDelta delta = configuration.items().deltaSince(configuration.revision() - 1);
    PeerMessage message = PeerMessage.newBuilder().setConfiguration(delta).build();
    List<Member> others = new ArrayList<>(directory.liveMembers());
    others.removeIf(member -> member.name().equals(selfName));
    Collections.shuffle(others);
    others.stream()
        .limit(GOSSIP_FAN_OUT)
        .forEach(member -> clients.send(member.address(), message));
  }
}
