package org.toucansaddle.daemon.internal;

import io.undertow.Undertow;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.retry.StrikeTable;
import org.toucansaddle.daemon.Daemon;
import org.toucansaddle.daemon.internal.admin.AdminHandler;
import org.toucansaddle.daemon.internal.admin.AdminOperations;
import org.toucansaddle.daemon.internal.admin.DaemonStatus;
import org.toucansaddle.daemon.internal.relay.ActiveRequests;
import org.toucansaddle.daemon.internal.sharing.RouterPool;
import org.toucansaddle.daemon.settings.DaemonSettings;

/**
 * Assembles and runs one daemon: its control plane, request pipeline and admin interface.
 *
 * <p>Thread-safe.
 */
public final class RouterDaemon implements Daemon {

  private static final Logger LOG = LoggerFactory.getLogger(RouterDaemon.class);
  private static final int CHECK_INTERVAL_MILLIS = 100;
  private static final int STRIKE_LIMIT = 3;
  private static final long QUARANTINE_MILLIS = 60_000;
  private static final long MAX_CONFIRMATION_AGE_MILLIS = 8_000;

  /** Time for load balancers to see the failed readiness check before requests are refused. */
  private static final long UNREADY_DELAY_MILLIS = 1_000;

  private final ActiveRequests activeRequests = new ActiveRequests();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicBoolean shuttingDown = new AtomicBoolean();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final ScheduledExecutorService timers = ControlPlane.newSingleThreadScheduler("timers");
  private final ControlPlane plane;
  private final RequestPipeline pipeline;
  private final Undertow callerServer;
  private final Undertow adminServer;

  /** Starts a daemon. */
  public RouterDaemon(DaemonSettings settings) throws IOException {
    StrikeTable strikes = new StrikeTable(STRIKE_LIMIT, QUARANTINE_MILLIS);
    this.plane = new ControlPlane(settings, strikes, timers);
    this.pipeline =
        new RequestPipeline(settings, plane, strikes, activeRequests, timers, shuttingDown::get);
    this.callerServer = pipeline.startServer(plane.sharing()::onAnnouncement, this::isReady);
    this.adminServer = startAdmin(settings);
    ControlPlane.schedulePeriodically(CHECK_INTERVAL_MILLIS, timers, this::checkRequests);
  }

  private void checkRequests() {
    activeRequests.checkTimeouts(MonotonicClock.millis());
    plane.sharing().pools().forEach(RouterPool::assignWaiting);
  }

  private Undertow startAdmin(DaemonSettings settings) {
    DaemonStatus status =
        new DaemonStatus(
            plane.self(),
            plane.holder(),
            plane.directory(),
            plane.replica(),
            plane.sharing(),
            this::isReady);
    AdminOperations operations =
        new AdminOperations(
            plane.self(),
            plane.holder(),
            plane.controlClient(),
            plane.directory(),
            plane.clients(),
            status,
            this::drain);
    Undertow server =
        HttpListeners.add(Undertow.builder(), settings.listen().admin())
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(new AdminHandler(settings.admin().tokenDigest(), operations))
            .build();
    server.start();
    return server;
  }

  @Override
  public boolean isReady() {
    long age = plane.holder().confirmedAgeMillis(System.nanoTime());
    return age < MAX_CONFIRMATION_AGE_MILLIS && !draining.get();
  }

  private void drain() {
    new Thread(this::shutDown, "shutdown").start();
  }

  @Override
  public void shutDown() {
    if (!draining.compareAndSet(false, true)) {
      return;
    }
    LOG.info("shutting down: not ready, {} requests in flight", activeRequests.size());
    sleep(UNREADY_DELAY_MILLIS);
    shuttingDown.set(true);
    while (activeRequests.size() > 0 || pipeline.hasOpenExchanges()) {
      sleep(CHECK_INTERVAL_MILLIS);
    }
    plane.leave();
    sleep(CHECK_INTERVAL_MILLIS * 2);
    LOG.info("shut down: no request in flight");
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
  public void awaitStopped() throws InterruptedException {
    stopped.await();
  }

  @Override
  public void close() {
    draining.set(true);
    callerServer.stop();
    adminServer.stop();
    timers.shutdownNow();
    plane.close();
    pipeline.close();
    stopped.countDown();
  }
}
