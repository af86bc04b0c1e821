package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A dispatcher and its routers over a network that delays and loses messages. */
public class SlotSharingTest {

  private static final int SLOTS_OF_UPSTREAM = 4;
  private static final int SEEDS = 60;

  @DataProvider
  static Object[][] losses() {
    return new Object[][] {{0}, {10}, {30}};
  }

  private static SharingSimulation loaded(long seed, int loss) {
    SharingSimulation simulation = new SharingSimulation(seed, 4, loss);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < 400; i++) {
      String router = "r" + (1 + random.nextInt(4));
      int millis = 50 + random.nextInt(600);
      simulation.arrive(random.nextInt(12_000), router, random.nextInt(5), millis);
    }
    return simulation;
  }

  @Test(dataProvider = "losses")
  public void shouldNeverRunMoreThanAnUpstreamsSlots(int loss) {
    for (long seed = 0; seed < SEEDS; seed++) {
      SharingSimulation simulation = loaded(seed, loss);
      simulation.run(15_000);
      assertThat(simulation.mostRunning()).as("seed %d", seed).isLessThanOrEqualTo(4);
    }
  }

  @Test(dataProvider = "losses")
  public void shouldServeEverythingInTheEnd(int loss) {
    for (long seed = 0; seed < SEEDS; seed++) {
      SharingSimulation simulation = loaded(seed, loss);
      simulation.run(60_000);
      assertThat(simulation.waiting()).as("seed %d", seed).isZero();
    }
  }

  @Test(dataProvider = "losses")
  public void shouldKeepTheBoundOverAChangeOfDispatcher(int loss) {
    for (long seed = 0; seed < SEEDS; seed++) {
      SharingSimulation simulation = loaded(seed, loss);
      simulation.failOverAt(5_000);
      simulation.run(20_000);
      assertThat(simulation.mostRunning())
          .as("seed %d", seed)
          .isLessThanOrEqualTo(SLOTS_OF_UPSTREAM);
    }
  }

  @Test(dataProvider = "losses")
  public void shouldStartNothingAtALeavingUpstreamAfterThreeSeconds(int loss) {
    for (long seed = 0; seed < SEEDS; seed++) {
      SharingSimulation simulation = loaded(seed, loss);
      simulation.leaveAt(4_000);
      simulation.run(20_000);
      assertThat(simulation.startedAfterLeaving()).as("seed %d", seed).isLessThanOrEqualTo(3_000);
    }
  }

  @Test
  public void shouldRefuseToQueueRequestThatHoldsASlot() {
    PoolScheduler<SharingSimulation.Request> scheduler = PoolScheduler.create(SharingMode.FLEET);
    UpstreamSlots upstream = new UpstreamSlots("u1", 1, "127.0.0.1:1", "zone-a", 2, false);
    scheduler.applyLease(
        new Lease("r1", 1, 1, 1_000, false, Map.of("u1", 2), Map.of("u1", upstream), Map.of()), 0);
    SharingSimulation.Request request = new SharingSimulation.Request(1, 10, 0);
    scheduler.enqueue(request);
    assertThat(scheduler.assign(1)).hasSize(1);
    assertThatThrownBy(() -> scheduler.enqueue(request)).hasMessageContaining("finished");
    scheduler.finished(request);
    scheduler.enqueue(request);
    assertThat(scheduler.waiting(1)).isEqualTo(1);
  }

  @Test
  public void shouldServeSmallAccountWithinBoundAmongFloods() {
    SharingSimulation simulation = new SharingSimulation(3, 4, 0);
    for (int account = 1; account <= 4; account++) {
      for (int i = 0; i < 200; i++) {
        simulation.arrive(10, "r" + account, account, 500);
      }
    }
    simulation.arrive(3_000, "r1", 9, 100);
    simulation.run(10_000);
    int longestRequestMillis = 500;
    int reactionMillis = 200;
    assertThat(simulation.longestWait(9))
        .isLessThanOrEqualTo(longestRequestMillis + reactionMillis);
  }
}
