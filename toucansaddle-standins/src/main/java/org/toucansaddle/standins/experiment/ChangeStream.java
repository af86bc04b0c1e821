package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucansaddle.standins.experiment.AdminApi.ChangeResult;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.RouterAddresses;

/**
 * Two operators who race each other on one class with equal numbers, and one who changes another.
 *
 * <p>Accepted changes are kept with the time of their acceptance. Thread-safe.
 */
final class ChangeStream {

  private static final int PAUSE_MILLIS = 60;
  private static final String RACED = "raced";

  private final Fleet fleet;
  private final AdminApi admin;
  private final List<String> admins;
  private final Map<Long, Long> acceptedAt = new ConcurrentSkipListMap<>();
  private final AtomicInteger rounds = new AtomicInteger();
  private final AtomicInteger winners = new AtomicInteger();
  private volatile boolean running;
  private Thread thread;
  private long racedRevision;
  private long ownRevision;
  private int ownTarget = 2_000;

  ChangeStream(Fleet fleet, AdminApi admin) {
    this.fleet = fleet;
    this.admin = admin;
    this.admins = fleet.routers().stream().map(RouterAddresses::adminAddress).toList();
  }

  void start() {
    running = true;
    thread = new Thread(this::run, "operators");
    thread.start();
  }

  void stop() {
    running = false;
    Threads.joinAll(List.of(thread));
  }

  void runFor(long millis) {
    start();
    SharingScenario.sleep(millis);
    stop();
  }

  private void run() {
    while (running) {
      race();
      changeOwn();
      SharingScenario.sleep(PAUSE_MILLIS);
    }
  }

  /** Both operators decide on the same revision; exactly one may win. */
  private void race() {
    List<String> others = new ArrayList<>(admins);
    Collections.rotate(others, 3);
    long decidedOn = racedRevision;
    CompletableFuture<ChangeResult> one =
        CompletableFuture.supplyAsync(() -> admin.putClass(admins, RACED, 3_000, decidedOn));
    CompletableFuture<ChangeResult> two =
        CompletableFuture.supplyAsync(() -> admin.putClass(others, RACED, 4_000, decidedOn));
    rounds.incrementAndGet();
    for (ChangeResult result : List.of(one.join(), two.join())) {
      if (result.isAccepted()) {
        winners.incrementAndGet();
        accepted(result.revision());
        racedRevision = result.revision();
      }
    }
  }

  private void changeOwn() {
    ChangeResult result = admin.putClass(admins, "own", ownTarget + 1, ownRevision);
    if (result.isAccepted()) {
      ownTarget++;
      ownRevision = result.revision();
      accepted(result.revision());
    }
  }

  private void accepted(long revision) {
    acceptedAt.put(revision, System.currentTimeMillis());
  }

  /** Returns when each accepted revision was accepted, in milliseconds since the epoch. */
  Map<Long, Long> acceptedAt() {
    return Map.copyOf(acceptedAt);
  }

  /** Returns how many of the two operators' changes won, for each time they raced. */
  double racingWinnersPerRound() {
    return (double) winners.get() / Math.max(1, rounds.get());
  }

  /** Returns how many daemons do not have the last accepted change in force. */
  long lost() {
    long lost = 0;
    for (RouterAddresses router : fleet.routers()) {
      lost += admin.wholeMillis(router.adminAddress(), "own") == ownTarget ? 0 : 1;
    }
    return lost;
  }
}
