package org.toucansaddle.coordination.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Drives replicas through seeded schedules of faults. */
public class ReplicatedLogTest {

  private static final int SEEDS_PER_CASE = 1_000;

  @DataProvider
  static Object[][] fleets() {
    return new Object[][] {{3, 0}, {5, 100_000}};
  }

  @Test(dataProvider = "fleets")
  public void shouldKeepEveryAcceptedCommandOnceAndInOneOrder(int replicas, int firstSeed) {
    for (int seed = firstSeed; seed < firstSeed + SEEDS_PER_CASE; seed++) {
      ReplicationSchedule schedule = new ReplicationSchedule(seed, replicas);
      try {
        schedule.run(6_000, 3_000);
      } catch (RuntimeException | AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      assertThat(schedule.history()).as("seed %d", seed).doesNotHaveDuplicates();
      assertThat(new HashSet<>(schedule.history()))
          .as("seed %d", seed)
          .containsAll(schedule.accepted());
      assertThat(schedule.isConverged()).as("seed %d: %s", seed, schedule.describe()).isTrue();
      assertThat(schedule.accepted()).as("seed %d", seed).isNotEmpty();
    }
  }
}
