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
 * Assembles and runs one daemon: its control plane, its request path and its admin interface.
 *
 * <p>Thread-safe.
 */
public final class RouterDaemon implements Daemon {

  private static final Logger LOG = LoggerFactory.getLogger(RouterDaemon.class);
  private static final int WATCH_MILLIS = 100;
  private static final int STRIKE_LIMIT = 3;
  private static final long QUARANTINE_MILLIS = 60_000;
  private static final long FRESHNESS_MILLIS = 8_000;
  private static final long UNREADY_MILLIS = 1_000;

  private final ActiveRequests watch = new ActiveRequests();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicBoolean refusing = new AtomicBoolean();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final ScheduledExecutorService timers = ControlPlane.newThread("timers");
  private final ControlPlane plane;
  private final RequestPath requestPath;
  private final Undertow callerServer;
  private final Undertow adminServer;

  /** Starts a daemon. */
  public RouterDaemon(DaemonSettings settings) throws IOException {
    StrikeTable strikes = new StrikeTable(STRIKE_LIMIT, QUARANTINE_MILLIS);
    this.plane = new ControlPlane(settings, strikes, timers);
    this.requestPath = new RequestPath(settings, plane, strikes, watch, timers, refusing::get);
    this.callerServer = requestPath.startServer(plane.sharing()::onAnnouncement, this::isReady);
    this.adminServer = startAdmin(settings);
    ControlPlane.every(WATCH_MILLIS, timers, this::watch);
  }

  private void watch() {
    watch.checkTimeouts(MonotonicClock.millis());
    plane.sharing().pools().forEach(RouterPool::retryAssign);
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
        Addresses.listen(Undertow.builder(), settings.listen().admin())
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
    return age < FRESHNESS_MILLIS && !draining.get();
  }

  private void drain() {
    new Thread(this::shutDown, "shutdown").start();
  }

  @Override
  public void shutDown() {
    if (!draining.compareAndSet(false, true)) {
      return;
    }
    LOG.info("shutting down: unready, {} requests under way", watch.size());
    sleep(UNREADY_MILLIS);
    refusing.set(true);
    while (watch.size() > 0 || requestPath.isWriting()) {
      sleep(WATCH_MILLIS);
    }
    plane.leave();
    sleep(WATCH_MILLIS * 2);
    LOG.info("shut down: no request under way");
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
    requestPath.close();
    stopped.countDown();
  }
}
