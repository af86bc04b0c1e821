package org.toucansaddle.standins.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.FleetProcess;
import org.toucansaddle.standins.fleet.FleetSpec;
import org.toucansaddle.standins.fleet.RouterAddresses;

/**
 * Changes the configuration while control replicas are killed, suspended or lose their disk.
 *
 * <p>Measures how long accepted changes take to come into force, and counts those that are lost or
 * reverted. Stateless and thread-safe.
 */
final class ConfigurationExperiment implements Experiment {

  private static final int ROUTERS = 8;
  private static final int RESTART_CHANGES = 500;
  private static final int LEADER_TIMEOUT_SECONDS = 20;

  @Override
  public Measurements run(ExperimentRun run) {
    try (Fleet fleet = Fleet.start(run.folder(), FleetSpec.of(ROUTERS));
        AdminApiClient admin = new AdminApiClient(fleet.operatorToken())) {
      fleet.awaitReady();
      ConfigurationChangeLoad changeLoad = new ConfigurationChangeLoad(fleet, admin);
      RevisionMonitor monitor = new RevisionMonitor(fleet, admin);
      monitor.start();
      changeLoad.runFor(4_000);
      List<Long> delaysWithoutFaults = monitor.delaysMillis(changeLoad.acceptedAtMillis());
      double changesPerSecond = measureChangesPerSecond(fleet, admin);
      changeLoad.start();
      long maxLeaderChangeMillis = injectFaults(fleet, admin);
      changeLoad.stop();
      long restartMillis = measureRestartMillis(fleet, admin);
      SharingScenario.sleep(3_000);
      monitor.stop();
      List<Long> allDelays = monitor.delaysMillis(changeLoad.acceptedAtMillis());
      return new Measurements()
          .put("accepted", changeLoad.acceptedAtMillis().size())
          .put("lost", changeLoad.countDaemonsMissingLastChange())
          .put("reverted", monitor.revertedCount())
          .put("in_force_p99_ms", percentile(delaysWithoutFaults, 0.99))
          .put("in_force_max_ms", percentile(allDelays, 1))
          .put("in_force_p99_with_faults_ms", percentile(allDelays, 0.99))
          .put("not_in_force_at_end", monitor.countMissing(changeLoad.acceptedAtMillis()))
          .put("racing_winners_per_round", changeLoad.acceptedChangesPerRound())
          .put("leader_change_max_ms", maxLeaderChangeMillis)
          .put("changes_per_s", changesPerSecond)
          .put("restart_ms", restartMillis);
    }
  }

  private static long percentile(List<Long> values, double fraction) {
    if (values.isEmpty()) {
      return -1;
    }
    List<Long> sorted = new ArrayList<>(values);
    sorted.sort(Comparator.naturalOrder());
    int index = (int) Math.ceil(fraction * sorted.size()) - 1;
    return sorted.get(Math.max(0, index));
  }

  /** Returns the rate of accepted changes when many are submitted at once. */
  private static double measureChangesPerSecond(Fleet fleet, AdminApiClient admin) {
    long beginNanos = System.nanoTime();
    int accepted = admin.createClasses(fleet.routers().get(0).adminAddress(), "burst", 400);
    return accepted / ((System.nanoTime() - beginNanos) / 1e9);
  }

  /** Injects all faults in turn; returns the longest time without a leader, in milliseconds. */
  private static long injectFaults(Fleet fleet, AdminApiClient admin) {
    long maxMillis = killLeader(fleet, admin);
    maxMillis = Math.max(maxMillis, suspendLeader(fleet, admin));
    restartWithEmptyDisk(fleet, admin, findFollower(fleet, admin));
    return Math.max(maxMillis, killLeader(fleet, admin));
  }

  private static String awaitLeader(Fleet fleet, AdminApiClient admin, String excluded) {
    long deadlineNanos = System.nanoTime() + LEADER_TIMEOUT_SECONDS * 1_000_000_000L;
    while (System.nanoTime() < deadlineNanos) {
      for (RouterAddresses router : fleet.routers()) {
        boolean isLeader = admin.isLeader(router.adminAddress());
        if (isLeader && !router.name().equals(excluded)) {
          return router.name();
        }
      }
      SharingScenario.sleep(20);
    }
    throw new IllegalStateException(
        "No control replica became leader in time. Check the logs of the daemons.");
  }

  private static String findFollower(Fleet fleet, AdminApiClient admin) {
    String leader = awaitLeader(fleet, admin, "");
    return List.of("router-1", "router-2", "router-3").stream()
        .filter(name -> !name.equals(leader))
        .findFirst()
        .orElseThrow();
  }

  private static long killLeader(Fleet fleet, AdminApiClient admin) {
    String leader = awaitLeader(fleet, admin, "");
    FleetProcess process = fleet.process(leader);
    long beginNanos = System.nanoTime();
    process.kill();
    awaitLeader(fleet, admin, leader);
    long elapsedMillis = (System.nanoTime() - beginNanos) / 1_000_000;
    process.start();
    fleet.awaitReady();
    SharingScenario.sleep(500);
    return elapsedMillis;
  }

  private static long suspendLeader(Fleet fleet, AdminApiClient admin) {
    String leader = awaitLeader(fleet, admin, "");
    FleetProcess process = fleet.process(leader);
    long beginNanos = System.nanoTime();
    process.signal("STOP");
    awaitLeader(fleet, admin, leader);
    long elapsedMillis = (System.nanoTime() - beginNanos) / 1_000_000;
    SharingScenario.sleep(1_500);
    process.signal("CONT");
    fleet.awaitReady();
    SharingScenario.sleep(500);
    return elapsedMillis;
  }

  /**
   * Restarts a replica without its data and waits until the control state is fully replicated
   * again, so that another replica can be killed next.
   */
  private static void restartWithEmptyDisk(Fleet fleet, AdminApiClient admin, String name) {
    FleetProcess process = fleet.process(name);
    process.kill();
    deleteRecursively(fleet.dataFolder(name));
    process.start();
    fleet.awaitReady();
    long deadlineNanos = System.nanoTime() + LEADER_TIMEOUT_SECONDS * 1_000_000_000L;
    while (!admin.isFullyReplicated(fleet, name) && System.nanoTime() < deadlineNanos) {
      SharingScenario.sleep(50);
    }
  }

  private static void deleteRecursively(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static long measureRestartMillis(Fleet fleet, AdminApiClient admin) {
    admin.createClasses(fleet.routers().get(4).adminAddress(), "many", RESTART_CHANGES);
    String name = findFollower(fleet, admin);
    FleetProcess process = fleet.process(name);
    process.kill();
    long beginNanos = System.nanoTime();
    process.start();
    fleet.awaitReady();
    return (System.nanoTime() - beginNanos) / 1_000_000;
  }
}
