package org.toucansaddle.daemon.internal.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.request.SlotHoldTimes.HoldTimeStats;
import org.toucansaddle.daemon.internal.sharing.PoolKey;
import org.toucansaddle.protocol.generated.UpstreamKind;

/** Checks the estimated wait against fixed values and against a simulated queue. */
public class QueueWaitEstimatorTest {

  private static final PoolKey POOL = new PoolKey(UpstreamKind.MODEL, "m");
  private static final int MEAN_MILLIS = 1_000;

  @DataProvider
  static Object[][] estimates() {
    return new Object[][] {
      {0, 4.0, new HoldTimeStats(1_000, 0), 0.0},
      {3, 4.0, new HoldTimeStats(1_000, 0), 1_000.0},
      {7, 1.0, new HoldTimeStats(100, 0), 800.0},
      {3, 2.0, new HoldTimeStats(1_000, 10_000), 2_172.730021},
      {500, 1.0, new HoldTimeStats(0, 0), 0.0},
    };
  }

  @Test(dataProvider = "estimates")
  public void shouldAddUpMeansAndVariancesOfStartIntervals(
      int waiting, double meanSlots, HoldTimeStats holdTimeStats, double expectedMillis) {
    assertThat(QueueWaitEstimator.percentile95Millis(waiting, meanSlots, holdTimeStats))
        .isCloseTo(expectedMillis, within(1e-6));
  }

  @Test
  public void shouldCoverAboutNinetyFivePercentOfWaits() {
    SplittableRandom random = new SplittableRandom(5);
    SlotHoldTimes holdTimes = new SlotHoldTimes();
    int coveredWaits = 0;
    for (int iteration = 0; iteration < 2_000; iteration++) {
      double estimatedMillis =
          QueueWaitEstimator.percentile95Millis(8, 4, holdTimes.stats(POOL, "c"));
      coveredWaits += simulateStartOfNinth(random, holdTimes) <= estimatedMillis ? 1 : 0;
    }
    assertThat(coveredWaits / 2_000.0).isBetween(0.90, 0.995);
  }

  /** Returns the start time of the ninth of nine requests that wait for four busy slots. */
  private static double simulateStartOfNinth(SplittableRandom random, SlotHoldTimes holdTimes) {
    PriorityQueue<Double> endTimes = new PriorityQueue<>();
    for (int i = 0; i < 4; i++) {
      endTimes.add(sampleHoldTime(random, holdTimes));
    }
    for (int i = 0; i < 8; i++) {
      endTimes.add(endTimes.poll() + sampleHoldTime(random, holdTimes));
    }
    return endTimes.poll();
  }

  private static double sampleHoldTime(SplittableRandom random, SlotHoldTimes holdTimes) {
    double millis = -MEAN_MILLIS * Math.log(1 - random.nextDouble());
    holdTimes.observe(POOL, "c", Math.round(millis));
    return millis;
  }
}
