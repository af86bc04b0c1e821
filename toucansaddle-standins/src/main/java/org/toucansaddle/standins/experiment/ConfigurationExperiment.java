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
 * Changes the configuration while control replicas are killed, frozen and wiped, and checks that
 * nothing accepted is lost or reverts.
 */
final class ConfigurationExperiment implements Experiment {

  private static final int ROUTERS = 8;
  private static final int RESTART_CHANGES = 500;
  private static final int LEADER_WAIT_SECONDS = 20;

  @Override
  public Figures run(ExperimentRun run) {
    try (Fleet fleet = Fleet.start(run.folder(), FleetSpec.of(ROUTERS));
        AdminApi admin = new AdminApi(fleet.operatorToken())) {
      fleet.awaitReady();
      ChangeStream changes = new ChangeStream(fleet, admin);
      RevisionWatch watch = new RevisionWatch(fleet, admin);
      watch.start();
      changes.runFor(4_000);
      List<Long> calm = watch.delaysMillis(changes.acceptedAt());
      double changesPerSecond = burst(fleet, admin);
      changes.start();
      long leaderChange = faults(fleet, admin);
      changes.stop();
      long restart = restartAfterManyChanges(fleet, admin);
      SharingScenario.sleep(3_000);
      watch.stop();
      List<Long> all = watch.delaysMillis(changes.acceptedAt());
      return new Figures()
          .put("accepted", changes.acceptedAt().size())
          .put("lost", changes.lost())
          .put("reverted", watch.reverted())
          .put("in_force_p99_ms", percentile(calm, 0.99))
          .put("in_force_max_ms", percentile(all, 1))
          .put("in_force_p99_with_faults_ms", percentile(all, 0.99))
          .put("not_in_force_at_end", watch.missing(changes.acceptedAt()))
          .put("racing_winners_per_round", changes.racingWinnersPerRound())
          .put("leader_change_max_ms", leaderChange)
          .put("changes_per_s", changesPerSecond)
          .put("restart_ms", restart);
    }
  }

  private static long percentile(List<Long> values, double share) {
    if (values.isEmpty()) {
      return -1;
    }
    List<Long> sorted = new ArrayList<>(values);
    sorted.sort(Comparator.naturalOrder());
    int index = (int) Math.ceil(share * sorted.size()) - 1;
    return sorted.get(Math.max(0, index));
  }

  /** Returns how many changes a second are accepted when many operators change at once. */
  private static double burst(Fleet fleet, AdminApi admin) {
    long begin = System.nanoTime();
    int accepted = admin.putManyClasses(fleet.routers().get(0).adminAddress(), "burst", 400);
    return accepted / ((System.nanoTime() - begin) / 1e9);
  }

  /** Kills, freezes and wipes; returns the longest time without a leader, in milliseconds. */
  private static long faults(Fleet fleet, AdminApi admin) {
    long longest = killLeader(fleet, admin);
    longest = Math.max(longest, freezeLeader(fleet, admin));
    wipe(fleet, admin, follower(fleet, admin));
    return Math.max(longest, killLeader(fleet, admin));
  }

  private static String leader(Fleet fleet, AdminApi admin, String except) {
    long deadline = System.nanoTime() + LEADER_WAIT_SECONDS * 1_000_000_000L;
    while (System.nanoTime() < deadline) {
      for (RouterAddresses router : fleet.routers()) {
        boolean leads = admin.isLeader(router.adminAddress());
        if (leads && !router.name().equals(except)) {
          return router.name();
        }
      }
      SharingScenario.sleep(20);
    }
    throw new IllegalStateException("no control replica leads");
  }

  private static String follower(Fleet fleet, AdminApi admin) {
    String leader = leader(fleet, admin, "");
    return List.of("router-1", "router-2", "router-3").stream()
        .filter(name -> !name.equals(leader))
        .findFirst()
        .orElseThrow();
  }

  private static long killLeader(Fleet fleet, AdminApi admin) {
    String leader = leader(fleet, admin, "");
    FleetProcess process = fleet.process(leader);
    long begin = System.nanoTime();
    process.kill();
    leader(fleet, admin, leader);
    long millis = (System.nanoTime() - begin) / 1_000_000;
    process.start();
    fleet.awaitReady();
    SharingScenario.sleep(500);
    return millis;
  }

  private static long freezeLeader(Fleet fleet, AdminApi admin) {
    String leader = leader(fleet, admin, "");
    FleetProcess process = fleet.process(leader);
    long begin = System.nanoTime();
    process.signal("STOP");
    leader(fleet, admin, leader);
    long millis = (System.nanoTime() - begin) / 1_000_000;
    SharingScenario.sleep(1_500);
    process.signal("CONT");
    fleet.awaitReady();
    SharingScenario.sleep(500);
    return millis;
  }

  /** Loses a replica with its disk, waits for {@code repaired}, then the caller kills another. */
  private static void wipe(Fleet fleet, AdminApi admin, String name) {
    FleetProcess process = fleet.process(name);
    process.kill();
    delete(fleet.dataFolder(name));
    process.start();
    fleet.awaitReady();
    long deadline = System.nanoTime() + LEADER_WAIT_SECONDS * 1_000_000_000L;
    while (!admin.isRepaired(fleet, name) && System.nanoTime() < deadline) {
      SharingScenario.sleep(50);
    }
  }

  private static void delete(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static long restartAfterManyChanges(Fleet fleet, AdminApi admin) {
    admin.putManyClasses(fleet.routers().get(4).adminAddress(), "many", RESTART_CHANGES);
    String name = follower(fleet, admin);
    FleetProcess process = fleet.process(name);
    process.kill();
    long begin = System.nanoTime();
    process.start();
    fleet.awaitReady();
    return (System.nanoTime() - begin) / 1_000_000;
  }
}
