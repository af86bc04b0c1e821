package org.toucansaddle.daemon.internal.gateway;

import io.grpc.ServerServiceDefinition;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
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

/** Connections to other daemons, the thread of the controllers, and the seeds. Thread-safe. */
final class GatewayPeers implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(GatewayPeers.class);
  private static final String FLEET = "gateway";

  private final EventLoopGroup threads = new NioEventLoopGroup(1);
  private final FleetProof proof;
  private final PeerTls tls = new PeerTls(Optional.empty());
  private final PeerClients clients;
  private final ScheduledExecutorService control =
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
    this.clients = new PeerClients(self, proof, tls, threads);
    this.seeds = settings.seeds();
  }

  PeerClients clients() {
    return clients;
  }

  ScheduledExecutorService controlExecutor() {
    return control;
  }

  List<String> seeds() {
    return seeds;
  }

  void useSeeds(List<String> other) {
    List<String> before = seeds;
    seeds = List.copyOf(other);
    LOG.info("reload: seeds {} instead of {}", other, before);
  }

  PeerServer serve(String address, List<ServerServiceDefinition> services) throws IOException {
    return PeerServer.start(address, services, proof, tls, threads);
  }

  /** Runs an action again and again on the controllers' thread; a failure is logged. */
  void scheduleRepeatedly(long millis, Runnable action) {
    control.scheduleWithFixedDelay(
        () -> {
          try {
            action.run();
          } catch (RuntimeException e) {
            LOG.error("a controller failed; it goes on with its next step", e);
          }
        },
        millis,
        millis,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    control.shutdownNow();
    clients.close();
    threads.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }
}
