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
 * Polls the revision in force at every daemon, and notes when each was reached and whether it fell.
 *
 * <p>A daemon that was not ready does not count, since the balancer sends it no callers.
 * Thread-safe.
 */
final class RevisionWatch {

  private static final int PAUSE_MILLIS = 15;

  private final Fleet fleet;
  private final AdminApi admin;
  private final Map<String, TreeMap<Long, Long>> reachedAt = new ConcurrentHashMap<>();
  private final Map<String, ConcurrentSkipListSet<Long>> readySince = new ConcurrentHashMap<>();
  private final AtomicLong reverted = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running;

  RevisionWatch(Fleet fleet, AdminApi admin) {
    this.fleet = fleet;
    this.admin = admin;
  }

  void start() {
    running = true;
    for (RouterAddresses router : fleet.routers()) {
      reachedAt.put(router.name(), new TreeMap<>());
      readySince.put(router.name(), new ConcurrentSkipListSet<>());
      Thread thread = new Thread(() -> poll(router), "watch-" + router.name());
      thread.start();
      threads.add(thread);
    }
  }

  private void poll(RouterAddresses router) {
    long highest = 0;
    boolean wasReady = false;
    while (running) {
      Optional<JsonNode> status = admin.status(router.adminAddress());
      boolean ready = status.filter(s -> s.path("ready").asBoolean()).isPresent();
      if (ready && !wasReady) {
        readySince.get(router.name()).add(System.currentTimeMillis());
      }
      wasReady = ready;
      if (ready) {
        long revision = status.get().path("revision").asLong();
        boolean fell = revision < highest;
        if (fell) {
          reverted.incrementAndGet();
        }
        if (revision > highest) {
          note(router.name(), revision);
        }
        highest = revision;
      }
      SharingScenario.sleep(PAUSE_MILLIS);
    }
  }

  private void note(String name, long revision) {
    TreeMap<Long, Long> times = reachedAt.get(name);
    synchronized (times) {
      times.put(revision, System.currentTimeMillis());
    }
  }

  void stop() {
    running = false;
    Threads.joinAll(threads);
  }

  /** Returns how often a daemon that was ready had a lower revision than before. */
  long reverted() {
    return reverted.get();
  }

  /**
   * Returns for each accepted change and daemon how long it served callers without the change.
   *
   * <p>The time counts from the acceptance, or from when the daemon became ready after it.
   */
  List<Long> delaysMillis(Map<Long, Long> acceptedAt) {
    List<Long> delays = new ArrayList<>();
    acceptedAt.forEach(
        (revision, accepted) ->
            reachedAt.forEach(
                (name, times) ->
                    reached(times, revision)
                        .ifPresent(at -> delays.add(delay(name, accepted, at)))));
    return delays;
  }

  private long delay(String name, long accepted, long reached) {
    Long ready = readySince.get(name).floor(reached);
    long from = ready == null ? accepted : Math.max(accepted, ready);
    return Math.max(0, reached - from);
  }

  /** Returns how many accepted changes are not in force at some daemon. */
  long missing(Map<Long, Long> acceptedAt) {
    long missing = 0;
    for (long revision : acceptedAt.keySet()) {
      for (TreeMap<Long, Long> times : reachedAt.values()) {
        missing += reached(times, revision).isPresent() ? 0 : 1;
      }
    }
    return missing;
  }

  private static Optional<Long> reached(TreeMap<Long, Long> times, long revision) {
    synchronized (times) {
      Map.Entry<Long, Long> entry = times.ceilingEntry(revision);
      return entry == null ? Optional.empty() : Optional.of(entry.getValue());
    }
  }
}
