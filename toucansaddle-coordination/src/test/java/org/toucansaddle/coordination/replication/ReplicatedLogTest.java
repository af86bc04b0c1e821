package org.toucansaddle.coordination.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Drives replicas through seeded schedules of faults. */
public class ReplicatedLogTest {

  private static final int SEEDS_PER_CASE = 1_000;

  /** Two timeouts of a schedule, after which the first candidate asks, and four messages. */
  private static final int MAX_ELECTION_MILLIS = 500;

  @DataProvider
  static Object[][] fleets() {
    return new Object[][] {{3, 0}, {5, 100_000}};
  }

  @Test(dataProvider = "fleets")
  public void shouldApplyEveryAcknowledgedCommandOnceInOneOrder(int replicas, int firstSeed) {
    for (int seed = firstSeed; seed < firstSeed + SEEDS_PER_CASE; seed++) {
      ReplicationSimulation schedule = new ReplicationSimulation(seed, replicas);
      try {
        schedule.run(6_000, 3_000);
      } catch (RuntimeException | AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      assertThat(schedule.appliedCommands()).as("seed %d", seed).doesNotHaveDuplicates();
      assertThat(new HashSet<>(schedule.appliedCommands()))
          .as("seed %d", seed)
          .containsAll(schedule.acknowledgedCommands());
      assertThat(schedule.isConverged()).as("seed %d: %s", seed, schedule.describe()).isTrue();
      assertThat(schedule.acknowledgedCommands()).as("seed %d", seed).isNotEmpty();
    }
  }

  @DataProvider
  static Object[][] powerLosses() {
    return new Object[][] {{5, 2, 300}, {5, 0, 300}, {3, 0, 100}, {3, 1, 20}};
  }

  /** Pattern: the final fault, in which all lose power and two of five lose their disks too. */
  @Test(dataProvider = "powerLosses")
  public void shouldElectLeaderSoonAfterTotalPowerLoss(int replicas, int lost, int startsWithin) {
    for (int seed = 0; seed < 300; seed++) {
      ReplicationSimulation schedule = new ReplicationSimulation(seed, replicas);
      schedule.run(0, 2_000);
      long millis = schedule.millisToLeaderAfterPowerLoss(lost, startsWithin);
      assertThat(millis).as("seed %d", seed).isLessThanOrEqualTo(MAX_ELECTION_MILLIS);
    }
  }

  /** Pattern: disks lost right after an acknowledgement, then others once all is repaired. */
  @Test
  public void shouldKeepEveryAcknowledgedCommandAfterDiskLosses() {
    int wiped = 0;
    for (int seed = 200_000; seed < 200_500; seed++) {
      ReplicationSimulation schedule = new ReplicationSimulation(seed, 5).withDiskLosses();
      try {
        schedule.run(8_000, 5_000);
      } catch (RuntimeException | AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      wiped += schedule.wipedDisks();
      assertThat(schedule.appliedCommands()).as("seed %d", seed).doesNotHaveDuplicates();
      assertThat(new HashSet<>(schedule.appliedCommands()))
          .as("seed %d", seed)
          .containsAll(schedule.acknowledgedCommands());
      assertThat(schedule.wasRecentlyFullyReplicated())
          .as("seed %d: %s", seed, schedule.describe())
          .isTrue();
      assertThat(schedule.isConverged()).as("seed %d: %s", seed, schedule.describe()).isTrue();
    }
    assertThat(wiped).as("disks lost in all schedules").isGreaterThan(500);
  }
}
