package org.toucansaddle.daemon.internal.gateway;

import io.grpc.ServerServiceDefinition;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.gateway.GatewaySettings;
import org.toucansaddle.daemon.internal.peer.FleetProof;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.peer.PeerServer;
import org.toucansaddle.daemon.internal.peer.PeerTls;

/** Connections to other daemons, the executor of the controllers, and the seeds. Thread-safe. */
final class GatewayPeers implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(GatewayPeers.class);
  private static final String FLEET = "gateway";

  private final EventLoopGroup eventLoop = new NioEventLoopGroup(1);
  private final FleetProof proof;
  private final PeerTls tls = new PeerTls(Optional.empty());
  private final PeerClients clients;
  private final ScheduledExecutorService controlExecutor =
      Executors.newSingleThreadScheduledExecutor(
          action -> {
            Thread thread = new Thread(action, "control");
            thread.setDaemon(true);
            return thread;
          });
  private volatile List<String> seeds;

  GatewayPeers(GatewaySettings settings) {
    PeerIdentity self =
        new PeerIdentity(
            settings.peerAddress(), settings.peerAddress(), System.currentTimeMillis());
    this.proof = new FleetProof(FLEET, settings.fleetSecret());
    this.clients = new PeerClients(self, proof, tls, eventLoop);
    this.seeds = settings.seeds();
  }

  PeerClients clients() {
    return clients;
  }

  ScheduledExecutorService controlExecutor() {
    return controlExecutor;
  }

  List<String> seeds() {
    return seeds;
  }

  void useSeeds(List<String> newSeeds) {
    List<String> oldSeeds = seeds;
    seeds = List.copyOf(newSeeds);
    LOG.info("reload: seeds are now {}, were {}", newSeeds, oldSeeds);
  }

  PeerServer serve(String address, List<ServerServiceDefinition> services) throws IOException {
    return PeerServer.start(address, services, proof, tls, eventLoop);
  }

  /** Runs an action once on the control executor; ignores it after {@link #close}. */
  void execute(Runnable action) {
    try {
      controlExecutor.execute(() -> runLogged(action));
    } catch (RejectedExecutionException e) {
      LOG.debug("this daemon is closed; a control task is ignored", e);
    }
  }

  /** Runs an action once on the control executor after a delay; ignores it after close. */
  void schedule(Runnable action, long delayNanos) {
    try {
      controlExecutor.schedule(() -> runLogged(action), delayNanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      LOG.debug("this daemon is closed; a control task is ignored", e);
    }
  }

  private static void runLogged(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      LOG.error("a control task failed", e);
    }
  }

  /** Runs an action repeatedly on the control executor; logs an exception and continues. */
  void scheduleRepeatedly(long delayMillis, Runnable action) {
    controlExecutor.scheduleWithFixedDelay(
        () -> runLogged(action), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    controlExecutor.shutdownNow();
    clients.close();
    eventLoop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }
}
