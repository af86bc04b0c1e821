package org.toucansaddle.daemon.internal.gateway.routing;

import io.grpc.stub.StreamObserver;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.gateway.origin.OriginTable;
import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.GatewayMethods;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;

/**
 * Follows one control daemon on a stream, which it reopens after a failure or silence.
 *
 * <p>Thread-safe; {@link #step} is called by one thread a few times a second.
 */
final class FollowClient implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(FollowClient.class);

  /**
   * Silence after which a stream is replaced; control daemons send updates at least every 400 ms.
   */
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Minimum time between two attempts to open a stream. */
  private static final long REOPEN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final String self;
  private final String address;
  private final RouterState state;
  private final PeerClients clients;
  private final LongSupplier clock;
  private final Consumer<FleetUpdate> onUpdate;
  private volatile UpdateStream current;
  private long openedAt;

  FollowClient(
      String self,
      String address,
      RouterState state,
      PeerClients clients,
      LongSupplier clock,
      Consumer<FleetUpdate> onUpdate) {
    this.self = self;
    this.address = address;
    this.state = state;
    this.clients = clients;
    this.clock = clock;
    this.onUpdate = onUpdate;
  }

  /** Returns whether the stream is open and has received an update. Waits for no lock. */
  boolean isLive() {
    UpdateStream stream = current;
    return stream != null && stream.hasUpdate;
  }

  /** Opens the stream if there is none, closes it if it is silent, or sends a report on it. */
  synchronized void step(FollowerReport.Builder report) {
    long now = clock.getAsLong();
    if (current == null) {
      if (openedAt == 0 || now - openedAt > REOPEN_DELAY_NANOS) {
        open(report, now);
      }
    } else if (now - current.lastUpdateAt > SILENCE_TIMEOUT_NANOS) {
      LOG.info("dependency lost: control daemon {} is silent", address);
      dropStream();
      clients.reconnect(address);
    } else if (current.hasUpdate) {
      current.send(report.clone());
    }
  }

  private void open(FollowerReport.Builder report, long now) {
    openedAt = now;
    UpdateStream stream = new UpdateStream(now);
    current = stream;
    stream.reports = clients.openStream(address, GatewayMethods.FOLLOW, stream);
    if (current == stream) {
      stream.send(report.clone().setFirst(true));
    }
  }

  private synchronized void handleEnd(UpdateStream ended, String reason) {
    if (current == ended) {
      if (ended.hasUpdate) {
        LOG.info("dependency lost: control daemon {}: {}", address, reason);
      }
      dropStream();
    }
  }

  private void dropStream() {
    current = null;
    state.removeControlDaemon(address);
  }

  @Override
  public synchronized void close() {
    UpdateStream ended = current;
    if (ended != null) {
      dropStream();
      ended.reports.onCompleted();
    }
  }

  /** Receives the updates of one stream. */
  private final class UpdateStream implements StreamObserver<FleetUpdate> {
    private StreamObserver<FollowerReport> reports;
    private volatile long lastUpdateAt;
    private volatile boolean hasUpdate;
    private long lastSentStrike;
    private long lastSentOrigin;

    UpdateStream(long openedAtNanos) {
      this.lastUpdateAt = openedAtNanos;
    }

    /** Sends a report with the strikes and origins that were not sent on this stream. */
    private void send(FollowerReport.Builder report) {
      RequestQuarantine quarantine = state.quarantine();
      long strike = quarantine.lastChange();
      report.addAllStrikes(quarantine.strikesAfter(lastSentStrike));
      if (!report.getFirst()) {
        report.addAllSuccesses(quarantine.successesAfter(lastSentStrike));
      }
      lastSentStrike = strike;
      OriginTable origins = state.origins();
      long origin = origins.lastChange();
      report.addAllOrigins(origins.changedAfter(lastSentOrigin));
      lastSentOrigin = origin;
      reports.onNext(report.setRouter(self).build());
    }

    @Override
    public void onNext(FleetUpdate update) {
      lastUpdateAt = clock.getAsLong();
      if (!hasUpdate) {
        hasUpdate = true;
        LOG.info("dependency regained: control daemon {}", address);
      }
      state.update(address, update);
      onUpdate.accept(update);
    }

    @Override
    public void onError(Throwable failure) {
      handleEnd(this, String.valueOf(failure.getMessage()));
    }

    @Override
    public void onCompleted() {
      handleEnd(this, "the stream ended");
    }
  }
}
