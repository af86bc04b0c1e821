package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucansaddle.standins.experiment.AdminApiClient.ChangeResult;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.RouterAddresses;

/**
 * Configuration changes of concurrent operators.
 *
 * <p>In each round two operators change one work class based on the same revision, so that one of
 * them must be refused; then another class is changed without a conflict. Records when each change
 * was accepted. Results may be read from any thread; start and stop belong to one thread.
 */
final class ConfigurationChangeLoad {

  private static final int ROUND_PAUSE_MILLIS = 60;
  private static final String CONTENDED_CLASS = "raced";

  private final Fleet fleet;
  private final AdminApiClient admin;
  private final List<String> adminAddresses;
  private final Map<Long, Long> acceptedAtMillis = new ConcurrentSkipListMap<>();
  private final AtomicInteger contendedRounds = new AtomicInteger();
  private final AtomicInteger contendedAccepted = new AtomicInteger();
  private volatile boolean running;
  private Thread thread;
  private long contendedRevision;
  private long uncontendedRevision;
  private int uncontendedTargetMillis = 2_000;

  ConfigurationChangeLoad(Fleet fleet, AdminApiClient admin) {
    this.fleet = fleet;
    this.admin = admin;
    this.adminAddresses = fleet.routers().stream().map(RouterAddresses::adminAddress).toList();
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
      submitConflictingChanges();
      submitUncontendedChange();
      SharingScenario.sleep(ROUND_PAUSE_MILLIS);
    }
  }

  /** Submits two changes that are based on the same revision; exactly one should be accepted. */
  private void submitConflictingChanges() {
    List<String> rotatedAddresses = new ArrayList<>(adminAddresses);
    Collections.rotate(rotatedAddresses, 3);
    long decidedOnRevision = contendedRevision;
    CompletableFuture<ChangeResult> firstResult =
        CompletableFuture.supplyAsync(
            () -> admin.putClass(adminAddresses, CONTENDED_CLASS, 3_000, decidedOnRevision));
    CompletableFuture<ChangeResult> secondResult =
        CompletableFuture.supplyAsync(
            () -> admin.putClass(rotatedAddresses, CONTENDED_CLASS, 4_000, decidedOnRevision));
    contendedRounds.incrementAndGet();
    for (ChangeResult result : List.of(firstResult.join(), secondResult.join())) {
      if (result.isAccepted()) {
        contendedAccepted.incrementAndGet();
        recordAccepted(result.revision());
        contendedRevision = result.revision();
      }
    }
  }

  private void submitUncontendedChange() {
    ChangeResult result =
        admin.putClass(adminAddresses, "own", uncontendedTargetMillis + 1, uncontendedRevision);
    if (result.isAccepted()) {
      uncontendedTargetMillis++;
      uncontendedRevision = result.revision();
      recordAccepted(result.revision());
    }
  }

  private void recordAccepted(long revision) {
    acceptedAtMillis.put(revision, System.currentTimeMillis());
  }

  /** Returns the time of acceptance by revision, in milliseconds since the epoch. */
  Map<Long, Long> acceptedAtMillis() {
    return Map.copyOf(acceptedAtMillis);
  }

  /** Returns the mean number of accepted changes per pair of conflicting changes; 1 is correct. */
  double acceptedChangesPerRound() {
    return (double) contendedAccepted.get() / Math.max(1, contendedRounds.get());
  }

  /**
   * Returns how many daemons do not have the last accepted uncontended change in force.
   *
   * <p>Call it after {@link #stop}.
   */
  long countDaemonsMissingLastChange() {
    long daemonsMissingChange = 0;
    for (RouterAddresses router : fleet.routers()) {
      daemonsMissingChange +=
          admin.wholeAnswerMillis(router.adminAddress(), "own") == uncontendedTargetMillis ? 0 : 1;
    }
    return daemonsMissingChange;
  }
}
