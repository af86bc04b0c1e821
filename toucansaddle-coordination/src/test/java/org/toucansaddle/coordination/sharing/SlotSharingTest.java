package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks a dispatcher and its routers on a network that delays and loses messages. */
public class SlotSharingTest {

  private static final int SLOTS_OF_UPSTREAM = 4;
  private static final int SEEDS = 60;

  @DataProvider
  static Object[][] losses() {
    return new Object[][] {{0}, {10}, {30}};
  }

  private static SharingSimulation createLoadedSimulation(long seed, int lossPercent) {
    SharingSimulation simulation = new SharingSimulation(seed, 4, lossPercent);
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < 400; i++) {
      String router = "r" + (1 + random.nextInt(4));
      int durationMillis = 50 + random.nextInt(600);
      simulation.addRequestAt(random.nextInt(12_000), router, random.nextInt(5), durationMillis);
    }
    return simulation;
  }

  @Test(dataProvider = "losses")
  public void shouldNeverRunMoreRequestsThanUpstreamHasSlots(int lossPercent) {
    for (long seed = 0; seed < SEEDS; seed++) {
      SharingSimulation simulation = createLoadedSimulation(seed, lossPercent);
      simulation.run(15_000);
      assertThat(simulation.maxRunning()).as("seed %d", seed).isLessThanOrEqualTo(4);
    }
  }

  @Test(dataProvider = "losses")
  public void shouldEventuallyStartAllRequests(int lossPercent) {
    for (long seed = 0; seed < SEEDS; seed++) {
      SharingSimulation simulation = createLoadedSimulation(seed, lossPercent);
      simulation.run(60_000);
      assertThat(simulation.waiting()).as("seed %d", seed).isZero();
    }
  }

  @Test(dataProvider = "losses")
  public void shouldNeverExceedSlotsAcrossDispatcherFailover(int lossPercent) {
    for (long seed = 0; seed < SEEDS; seed++) {
      SharingSimulation simulation = createLoadedSimulation(seed, lossPercent);
      simulation.failOverAt(5_000);
      simulation.run(20_000);
      assertThat(simulation.maxRunning())
          .as("seed %d", seed)
          .isLessThanOrEqualTo(SLOTS_OF_UPSTREAM);
    }
  }

  @Test(dataProvider = "losses")
  public void shouldStartNothingOnLeavingUpstreamAfterThreeSeconds(int lossPercent) {
    for (long seed = 0; seed < SEEDS; seed++) {
      SharingSimulation simulation = createLoadedSimulation(seed, lossPercent);
      simulation.announceLeavingAt(4_000);
      simulation.run(20_000);
      assertThat(simulation.lastStartAfterLeavingMillis())
          .as("seed %d", seed)
          .isLessThanOrEqualTo(3_000);
    }
  }

  @Test
  public void shouldRejectEnqueueOfRequestThatHoldsSlot() {
    PoolScheduler<SharingSimulation.Request> scheduler = PoolScheduler.create(SharingMode.FLEET);
    UpstreamSlots upstream = new UpstreamSlots("u1", 1, "127.0.0.1:1", "zone-a", 2, false);
    scheduler.applyLease(
        new Lease("r1", 1, 1, 1_000, false, Map.of("u1", 2), Map.of("u1", upstream), Map.of()), 0);
    SharingSimulation.Request request = new SharingSimulation.Request(1, 10, 0);
    scheduler.enqueue(request);
    assertThat(scheduler.assign(1)).hasSize(1);
    assertThatThrownBy(() -> scheduler.enqueue(request))
        .hasMessageContaining("call releaseSlot before");
    scheduler.releaseSlot(request);
    scheduler.enqueue(request);
    assertThat(scheduler.waiting(1)).isEqualTo(1);
  }

  @Test
  public void shouldStartSmallAccountWithinBoundUnderFlood() {
    SharingSimulation simulation = new SharingSimulation(3, 4, 0);
    for (int account = 1; account <= 4; account++) {
      for (int i = 0; i < 200; i++) {
        simulation.addRequestAt(10, "r" + account, account, 500);
      }
    }
    simulation.addRequestAt(3_000, "r1", 9, 100);
    simulation.run(10_000);
    int longestRequestMillis = 500;
    int reactionMillis = 200;
    assertThat(simulation.maxWaitMillis(9))
        .isLessThanOrEqualTo(longestRequestMillis + reactionMillis);
  }

  private static RouterDemand demandWithUsage(String router, long sequence, int used) {
    return new RouterDemand(
        router,
        1,
        sequence,
        0,
        0,
        Map.of(1, new AccountDemand(8, used)),
        Map.of("u1", new SlotUsage(used, 0)),
        Map.of());
  }

  private static RouterDemand demandUnderLease(Lease lease, String router, long sequence) {
    int slots = lease == null ? 0 : lease.slots().getOrDefault("u1", 0);
    return new RouterDemand(
        router,
        1,
        sequence,
        lease == null ? 0 : lease.epoch(),
        lease == null ? 0 : lease.sequence(),
        Map.of(1, new AccountDemand(8, slots)),
        Map.of("u1", new SlotUsage(slots, 0)),
        Map.of());
  }

  @Test
  public void shouldNotLeaseUpstreamWithoutAnnouncement() {
    PoolDispatcher dispatcher = PoolDispatcher.create(SharingSettings.defaults(), 2, 0);
    dispatcher.setLiveRouters(Set.of("r1", "r2"), 0);
    dispatcher.poll(0);
    dispatcher.updateDemand(demandWithUsage("r1", 1, 3), 1);
    assertThat(dispatcher.poll(2)).allMatch(lease -> lease.slots().isEmpty());
  }

  @Test
  public void shouldRevokeSlotsAboveShareWhenRoutersBecomeUnresponsive() {
    PoolDispatcher dispatcher = PoolDispatcher.create(SharingSettings.defaults(), 1, 0);
    Set<String> routers = Set.of("r1", "r2", "r3", "r4");
    dispatcher.setLiveRouters(routers, 0);
    dispatcher.setMembers(routers);
    Map<String, Lease> leases = new HashMap<>();
    for (long now = 0; now <= 12_000; now += 100) {
      dispatcher.updateUpstream(new UpstreamSlots("u1", 1, "127.0.0.1:1", "z", 4, false), now);
      for (String router : now < 4_000 ? routers : Set.of("r1")) {
        dispatcher.updateDemand(demandUnderLease(leases.get(router), router, now + 1), now);
      }
      dispatcher.poll(now).forEach(lease -> leases.put(lease.router(), lease));
    }
    assertThat(leases.get("r1").slots()).isEqualTo(Map.of("u1", 1));
  }

  @Test
  public void shouldSendNewLeaseWhenReleasedSlotIsGrantedAgain() {
    PoolDispatcher dispatcher = PoolDispatcher.create(SharingSettings.defaults(), 1, 0);
    dispatcher.setLiveRouters(Set.of("r1"), 0);
    dispatcher.updateUpstream(new UpstreamSlots("u1", 1, "127.0.0.1:1", "z", 4, false), 0);
    dispatcher.updateDemand(demandWithUsage("r1", 1, 0), 10);
    Lease first = dispatcher.poll(50).get(0);
    assertThat(first.slots()).isEqualTo(Map.of("u1", 4));
    RouterDemand allReleased =
        new RouterDemand(
            "r1",
            1,
            2,
            1,
            first.sequence(),
            Map.of(1, new AccountDemand(8, 0)),
            Map.of(),
            Map.of());
    dispatcher.updateDemand(allReleased, 60);
    List<Lease> next = dispatcher.poll(70);
    assertThat(next).hasSize(1);
    assertThat(next.get(0).slots()).isEqualTo(first.slots());
    assertThat(next.get(0).sequence()).isGreaterThan(first.sequence());
  }
}
