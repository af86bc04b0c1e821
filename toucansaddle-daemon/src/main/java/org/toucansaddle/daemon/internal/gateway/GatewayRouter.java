package org.toucansaddle.daemon.internal.gateway;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.gateway.GatewaySettings;
import org.toucansaddle.daemon.gateway.GatewaySettings.RouterSettings;
import org.toucansaddle.daemon.gateway.RouterGateway;
import org.toucansaddle.daemon.internal.IoThreads;
import org.toucansaddle.daemon.internal.gateway.control.DocumentStore;
import org.toucansaddle.daemon.internal.gateway.relay.GatewayHandler;
import org.toucansaddle.daemon.internal.gateway.relay.HeaderCodec;
import org.toucansaddle.daemon.internal.gateway.relay.RelayContext;
import org.toucansaddle.daemon.internal.gateway.relay.RelayMetrics;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector;
import org.toucansaddle.daemon.internal.gateway.routing.ControlFollower;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Assembles and runs a router. Thread-safe. */
public final class GatewayRouter implements RouterGateway {

  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);

  /** Pause between reports to control daemons, in milliseconds. */
  private static final int REPORT_MILLIS = 400;

  private static final int SWEEP_MILLIS = 500;
  private static final Duration CONFIRM_TIMEOUT = Duration.ofMillis(1_000);

  /** Time in which the balancer notices that a router is not ready: two checks, a second apart. */
  private static final int UNREADY_MILLIS = 3_000;

  private static final int DRAIN_STEP_MILLIS = 50;

  /** Time before the end of grace at which what is left is broken off. */
  private static final int LAST_MILLIS = 400;

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_HEADERS = 200;
  private static final int NO_REQUEST_MILLIS = 60_000;

  private final RouterSettings settings;
  private final GatewayPeers peers;
  private final RouterState state;
  private final ControlFollower follower;
  private final DocumentStore store;
  private final RelayMetrics metrics = new RelayMetrics();
  private final GatewayHandler handler;
  private final XnioWorker worker;
  private final List<Undertow> servers = new ArrayList<>();
  private final AtomicBoolean draining = new AtomicBoolean();

  /** Starts a router. */
  public GatewayRouter(GatewaySettings settings, RouterSettings router) throws IOException {
    this.settings = router;
    this.peers = new GatewayPeers(settings);
    this.state = new RouterState(settings.format(), router.silenceMillis(), System::nanoTime);
    this.follower =
        new ControlFollower(
            settings.name(),
            settings.zone(),
            state,
            peers.clients(),
            peers::seeds,
            System::nanoTime);
    this.store =
        new DocumentStore(
            settings.peerAddress(),
            Optional.empty(),
            () -> {
              throw new IllegalStateException("A router stores no document.");
            },
            peers.clients(),
            follower::addresses,
            peers.control());
    this.worker = IoThreads.start(router.ioThreads());
    ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4);
    RelayContext context =
        new RelayContext(
            state,
            new HeaderCodec(settings.headers()),
            new UpstreamSelector(settings.zone()),
            metrics,
            router,
            System::nanoTime,
            buffers,
            draining::get);
    this.handler = new GatewayHandler(context);
    startServers();
    confirm();
    peers.control().execute(follower::step);
    peers.every(REPORT_MILLIS, follower::step);
    peers.every(SWEEP_MILLIS, context::closeExpiredConnections);
    metrics.registerGauge(
        "toucansaddle_gateway_under_way", "Requests under way.", handler::requestsInFlight);
    metrics.registerGauge(
        "toucansaddle_gateway_configuration", "Version in force.", state::version);
    LOG.info("started: router {} for callers at {}", settings.name(), router.callerAddress());
  }

  private void startServers() {
    HttpHandler readiness =
        Handlers.path().addExactPath(settings.readinessPath(), this::answerReady);
    settings
        .metricsAddress()
        .ifPresent(
            address -> servers.add(listen(address, e -> e.getResponseSender().send(metrics()))));
    if (settings.readinessAddress().isPresent()) {
      servers.add(listen(settings.readinessAddress().get(), readiness));
      servers.add(listen(settings.callerAddress(), handler));
    } else {
      HttpHandler both =
          Handlers.path(handler).addExactPath(settings.readinessPath(), this::answerReady);
      servers.add(listen(settings.callerAddress(), both));
    }
  }

  private Undertow listen(String address, HttpHandler root) {
    int colon = address.lastIndexOf(':');
    Undertow server =
        Undertow.builder()
            .addHttpListener(
                Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.REUSE_ADDRESSES, true)
            .setServerOption(UndertowOptions.DECODE_URL, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, NO_REQUEST_MILLIS)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .setWorker(worker)
            .setHandler(root)
            .build();
    server.start();
    return server;
  }

  private void answerReady(HttpServerExchange exchange) {
    exchange.setStatusCode(isReady() ? 200 : 503);
    exchange.endExchange();
  }

  /** A router with empty state serves nothing before it read what is surely the newest. */
  private void confirm() {
    store
        .read(CONFIRM_TIMEOUT)
        .whenComplete(
            (document, failure) -> {
              boolean found = failure == null && document.map(d -> d.version() > 0).orElse(false);
              if (found) {
                state.confirm(document.get());
                LOG.info("configuration {} confirmed by a quorum", document.get().version());
              } else {
                peers.control().execute(this::confirm);
              }
            });
  }

  @Override
  public boolean isReady() {
    return state.isInformed() && !draining.get();
  }

  @Override
  public void useSeeds(List<String> seeds) {
    peers.useSeeds(seeds);
  }

  @Override
  public String metrics() {
    return metrics.text();
  }

  @Override
  public void shutDown() {
    if (!draining.compareAndSet(false, true)) {
      return;
    }
    long begun = System.nanoTime();
    LOG.info("stop: unready, {} requests under way", handler.requestsInFlight());
    sleep(UNREADY_MILLIS);
    handler.refuseNewRequests();
    long endAt = begun + Duration.ofMillis(settings.graceMillis() - LAST_MILLIS).toNanos();
    while (handler.requestsInFlight() > 0 && System.nanoTime() - endAt < 0) {
      sleep(DRAIN_STEP_MILLIS);
    }
    LOG.info("stop: {} requests left under way", handler.requestsInFlight());
    close();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    draining.set(true);
    follower.close();
    servers.forEach(Undertow::stop);
    worker.shutdownNow();
    peers.close();
  }
}
