package org.toucansaddle.standins.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
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
      Thread thread = new Thread(() -> poll(router), "watch-" + router.name());
      thread.start();
      threads.add(thread);
    }
  }

  private void poll(RouterAddresses router) {
    long highest = 0;
    while (running) {
      Optional<JsonNode> status = admin.status(router.admin());
      if (status.filter(s -> s.path("ready").asBoolean()).isPresent()) {
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
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Returns how often a daemon that was ready had a lower revision than before. */
  long reverted() {
    return reverted.get();
  }

  /** Returns for each accepted change and daemon how long after acceptance it was in force. */
  List<Long> delaysMillis(Map<Long, Long> acceptedAt) {
    List<Long> delays = new ArrayList<>();
    acceptedAt.forEach(
        (revision, accepted) ->
            reachedAt
                .values()
                .forEach(
                    times ->
                        reached(times, revision)
                            .ifPresent(at -> delays.add(Math.max(0, at - accepted)))));
    return delays;
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
