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

/** How long a request is expected to wait. */
public class QueueWaitEstimatorTest {

  private static final PoolKey POOL = new PoolKey(UpstreamKind.MODEL, "m");
  private static final int MEAN_MILLIS = 1_000;

  @DataProvider
  static Object[][] waits() {
    return new Object[][] {
      {0, 4.0, new HoldTimeStats(1_000, 0), 0.0},
      {3, 4.0, new HoldTimeStats(1_000, 0), 1_000.0},
      {7, 1.0, new HoldTimeStats(100, 0), 800.0},
      {3, 2.0, new HoldTimeStats(1_000, 10_000), 2_172.730021},
      {500, 1.0, new HoldTimeStats(0, 0), 0.0},
    };
  }

  @Test(dataProvider = "waits")
  public void shouldAddUpStartsAndTheirDeviation(
      int waiting, double slots, HoldTimeStats holding, double expected) {
    assertThat(QueueWaitEstimator.percentile95Millis(waiting, slots, holding))
        .isCloseTo(expected, within(1e-6));
  }

  @Test
  public void shouldCoverAboutNineteenOfTwentyWaits() {
    SplittableRandom random = new SplittableRandom(5);
    SlotHoldTimes times = new SlotHoldTimes();
    int covered = 0;
    for (int trial = 0; trial < 2_000; trial++) {
      double allowed = QueueWaitEstimator.percentile95Millis(8, 4, times.stats(POOL, "c"));
      covered += startOfNinth(random, times) <= allowed ? 1 : 0;
    }
    assertThat(covered / 2_000.0).isBetween(0.90, 0.995);
  }

  /** Four slots are busy, eight requests wait before ours; returns when ours starts. */
  private static double startOfNinth(SplittableRandom random, SlotHoldTimes times) {
    PriorityQueue<Double> ends = new PriorityQueue<>();
    for (int i = 0; i < 4; i++) {
      ends.add(draw(random, times));
    }
    for (int i = 0; i < 8; i++) {
      ends.add(ends.poll() + draw(random, times));
    }
    return ends.poll();
  }

  private static double draw(SplittableRandom random, SlotHoldTimes times) {
    double millis = -MEAN_MILLIS * Math.log(1 - random.nextDouble());
    times.observe(POOL, "c", Math.round(millis));
    return millis;
  }
}
