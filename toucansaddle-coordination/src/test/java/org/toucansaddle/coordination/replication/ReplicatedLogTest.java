package org.toucansaddle.coordination.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs replicas through simulations with fault schedules derived from a seed. */
public class ReplicatedLogTest {

  private static final int SEEDS_PER_CASE = 1_000;

  /** Two election timeouts, by which a candidate has started, and the delay of four messages. */
  private static final int MAX_ELECTION_MILLIS = 500;

  @DataProvider
  static Object[][] replicaCounts() {
    return new Object[][] {{3, 0}, {5, 100_000}};
  }

  @Test(dataProvider = "replicaCounts")
  public void shouldApplyEveryAcknowledgedCommandOnceInOneOrder(int replicas, int firstSeed) {
    for (int seed = firstSeed; seed < firstSeed + SEEDS_PER_CASE; seed++) {
      ReplicationSimulation simulation = new ReplicationSimulation(seed, replicas);
      try {
        simulation.run(6_000, 3_000);
      } catch (RuntimeException | AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      assertThat(simulation.appliedCommands()).as("seed %d", seed).doesNotHaveDuplicates();
      assertThat(new HashSet<>(simulation.appliedCommands()))
          .as("seed %d", seed)
          .containsAll(simulation.acknowledgedCommands());
      assertThat(simulation.isConverged()).as("seed %d: %s", seed, simulation.describe()).isTrue();
      assertThat(simulation.acknowledgedCommands()).as("seed %d", seed).isNotEmpty();
    }
  }

  @DataProvider
  static Object[][] powerLosses() {
    return new Object[][] {{5, 2, 300}, {5, 0, 300}, {3, 0, 100}, {3, 1, 20}};
  }

  /** All replicas lose power at once; some never restart, such as two of five with lost disks. */
  @Test(dataProvider = "powerLosses")
  public void shouldElectLeaderSoonAfterTotalPowerLoss(
      int replicas, int lostReplicas, int startsWithinMillis) {
    for (int seed = 0; seed < 300; seed++) {
      ReplicationSimulation simulation = new ReplicationSimulation(seed, replicas);
      simulation.run(0, 2_000);
      long electionMillis =
          simulation.millisToLeaderAfterPowerLoss(lostReplicas, startsWithinMillis);
      assertThat(electionMillis).as("seed %d", seed).isLessThanOrEqualTo(MAX_ELECTION_MILLIS);
    }
  }

  /** Disks are lost right after an acknowledgement, and others after each completed repair. */
  @Test
  public void shouldKeepEveryAcknowledgedCommandAfterDiskLosses() {
    int wipedDisks = 0;
    for (int seed = 200_000; seed < 200_500; seed++) {
      ReplicationSimulation simulation = new ReplicationSimulation(seed, 5).withDiskLosses();
      try {
        simulation.run(8_000, 5_000);
      } catch (RuntimeException | AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      wipedDisks += simulation.wipedDisks();
      assertThat(simulation.appliedCommands()).as("seed %d", seed).doesNotHaveDuplicates();
      assertThat(new HashSet<>(simulation.appliedCommands()))
          .as("seed %d", seed)
          .containsAll(simulation.acknowledgedCommands());
      assertThat(simulation.wasRecentlyFullyReplicated())
          .as("seed %d: %s", seed, simulation.describe())
          .isTrue();
      assertThat(simulation.isConverged()).as("seed %d: %s", seed, simulation.describe()).isTrue();
    }
    assertThat(wipedDisks).as("disks wiped in all simulations").isGreaterThan(500);
  }
}
