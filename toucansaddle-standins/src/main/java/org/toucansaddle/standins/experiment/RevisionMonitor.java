package org.toucansaddle.standins.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicLong;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.RouterAddresses;

/**
 * Polls the revision in force at every daemon; records when it was reached and counts reversals.
 *
 * <p>A daemon is ignored while it is not ready, since the balancer sends it no callers. Results may
 * be read from any thread; start and stop belong to one thread.
 */
final class RevisionMonitor {

  private static final int POLL_INTERVAL_MILLIS = 15;

  private final Fleet fleet;
  private final AdminApiClient admin;
  private final Map<String, TreeMap<Long, Long>> reachedAtMillisByRouter =
      new ConcurrentHashMap<>();
  private final Map<String, ConcurrentSkipListSet<Long>> readySinceMillisByRouter =
      new ConcurrentHashMap<>();
  private final AtomicLong revertedCount = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running;

  RevisionMonitor(Fleet fleet, AdminApiClient admin) {
    this.fleet = fleet;
    this.admin = admin;
  }

  void start() {
    running = true;
    for (RouterAddresses router : fleet.routers()) {
      reachedAtMillisByRouter.put(router.name(), new TreeMap<>());
      readySinceMillisByRouter.put(router.name(), new ConcurrentSkipListSet<>());
      Thread thread = new Thread(() -> poll(router), "watch-" + router.name());
      thread.start();
      threads.add(thread);
    }
  }

  private void poll(RouterAddresses router) {
    long previousRevision = 0;
    boolean wasReady = false;
    while (running) {
      Optional<JsonNode> status = admin.status(router.adminAddress());
      boolean isReady =
          status.filter(statusJson -> statusJson.path("ready").asBoolean()).isPresent();
      if (isReady && !wasReady) {
        readySinceMillisByRouter.get(router.name()).add(System.currentTimeMillis());
      }
      wasReady = isReady;
      if (isReady) {
        long revision = status.get().path("revision").asLong();
        boolean isReverted = revision < previousRevision;
        if (isReverted) {
          revertedCount.incrementAndGet();
        }
        if (revision > previousRevision) {
          recordReached(router.name(), revision);
        }
        previousRevision = revision;
      }
      SharingScenario.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private void recordReached(String routerName, long revision) {
    TreeMap<Long, Long> reachedAtMillis = reachedAtMillisByRouter.get(routerName);
    synchronized (reachedAtMillis) {
      reachedAtMillis.put(revision, System.currentTimeMillis());
    }
  }

  void stop() {
    running = false;
    Threads.joinAll(threads);
  }

  /** Returns how often a ready daemon reported a lower revision than before. */
  long revertedCount() {
    return revertedCount.get();
  }

  /**
   * Returns how long each daemon served callers without each accepted change, in milliseconds.
   *
   * <p>A delay starts at the acceptance, or when the daemon became ready if that was later. Changes
   * that a daemon has not reached are left out.
   *
   * @param acceptedAtMillis time of acceptance by revision, in milliseconds since the epoch
   */
  List<Long> delaysMillis(Map<Long, Long> acceptedAtMillis) {
    List<Long> delaysMillis = new ArrayList<>();
    acceptedAtMillis.forEach(
        (revision, acceptedMillis) ->
            reachedAtMillisByRouter.forEach(
                (routerName, reachedAtMillis) ->
                    reachedMillis(reachedAtMillis, revision)
                        .ifPresent(
                            reachedMillis ->
                                delaysMillis.add(
                                    delayMillis(routerName, acceptedMillis, reachedMillis)))));
    return delaysMillis;
  }

  private long delayMillis(String routerName, long acceptedMillis, long reachedMillis) {
    Long readyMillis = readySinceMillisByRouter.get(routerName).floor(reachedMillis);
    long fromMillis = readyMillis == null ? acceptedMillis : Math.max(acceptedMillis, readyMillis);
    return Math.max(0, reachedMillis - fromMillis);
  }

  /** Returns the number of pairs of an accepted change and a daemon that has not reached it. */
  long countMissing(Map<Long, Long> acceptedAtMillis) {
    long missing = 0;
    for (long revision : acceptedAtMillis.keySet()) {
      for (TreeMap<Long, Long> reachedAtMillis : reachedAtMillisByRouter.values()) {
        missing += reachedMillis(reachedAtMillis, revision).isPresent() ? 0 : 1;
      }
    }
    return missing;
  }

  private static Optional<Long> reachedMillis(TreeMap<Long, Long> reachedAtMillis, long revision) {
    synchronized (reachedAtMillis) {
      Map.Entry<Long, Long> entry = reachedAtMillis.ceilingEntry(revision);
      return entry == null ? Optional.empty() : Optional.of(entry.getValue());
    }
  }
}
