package org.toucansaddle.daemon.internal.gateway.routing;

import io.grpc.stub.StreamObserver;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.GatewayMethods;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;

/**
 * Follows one control daemon: keeps a stream to it and opens it again when it breaks or falls
 * silent.
 *
 * <p>Thread-safe; {@link #step} is called by one thread a few times a second.
 */
final class FollowClient implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(FollowClient.class);

  /** Silence after which a stream is replaced; the other side sends every 400 ms. */
  private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Pause between two attempts to open a stream. */
  private static final long REOPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final String self;
  private final String address;
  private final RouterState state;
  private final PeerClients clients;
  private final LongSupplier clock;
  private final Consumer<FleetUpdate> onUpdate;
  private Updates current;
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

  /** Returns whether the daemon sent an update lately. */
  synchronized boolean isLive() {
    return current != null && current.heard;
  }

  /** Opens the stream if it is broken or silent, else sends a report on it. */
  synchronized void step(FollowerReport.Builder report) {
    long now = clock.getAsLong();
    if (current == null) {
      if (openedAt == 0 || now - openedAt > REOPEN_NANOS) {
        open(report, now);
      }
    } else if (now - current.heardAt > SILENT_NANOS) {
      LOG.info("dependency lost: control daemon {} is silent", address);
      drop();
      clients.reconnect(address);
    } else if (current.heard) {
      current.reports.onNext(report.clone().setRouter(self).build());
    }
  }

  private void open(FollowerReport.Builder report, long now) {
    openedAt = now;
    Updates updates = new Updates(now);
    current = updates;
    updates.reports = clients.stream(address, GatewayMethods.FOLLOW, updates);
    if (current == updates) {
      updates.reports.onNext(report.clone().setRouter(self).setFirst(true).build());
    }
  }

  private synchronized void broken(Updates ended, String why) {
    if (current == ended) {
      if (ended.heard) {
        LOG.info("dependency lost: control daemon {}: {}", address, why);
      }
      drop();
    }
  }

  private void drop() {
    current = null;
    state.removeControlDaemon(address);
  }

  @Override
  public synchronized void close() {
    Updates ended = current;
    if (ended != null) {
      drop();
      ended.reports.onCompleted();
    }
  }

  /** Receives the updates of one stream. */
  private final class Updates implements StreamObserver<FleetUpdate> {
    private StreamObserver<FollowerReport> reports;
    private volatile long heardAt;
    private volatile boolean heard;

    Updates(long openedAtNanos) {
      this.heardAt = openedAtNanos;
    }

    @Override
    public void onNext(FleetUpdate update) {
      heardAt = clock.getAsLong();
      if (!heard) {
        heard = true;
        LOG.info("dependency regained: control daemon {}", address);
      }
      state.update(address, update);
      onUpdate.accept(update);
    }

    @Override
    public void onError(Throwable failure) {
      broken(this, String.valueOf(failure.getMessage()));
    }

    @Override
    public void onCompleted() {
      broken(this, "the stream ended");
    }
  }
}
