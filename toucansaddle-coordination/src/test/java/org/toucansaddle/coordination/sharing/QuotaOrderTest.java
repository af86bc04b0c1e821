package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** A small and a large account that are both below their quotas compete for one free slot. */
public class QuotaOrderTest {

  private static final int LARGE = 1;
  private static final int SMALL = 2;

  private final PoolScheduler<SharingSimulation.Request> scheduler =
      PoolScheduler.create(SharingMode.FLEET);

  private void applyLease(long sequence, int slots) {
    UpstreamSlots upstream = new UpstreamSlots("u1", 1, "10.0.0.1:80", "z", slots, false);
    Map<Integer, Integer> quotas = Map.of(LARGE, 20, SMALL, 4);
    scheduler.applyLease(
        new Lease(
            "r", 1, sequence, 1_000, false, Map.of("u1", slots), Map.of("u1", upstream), quotas),
        0);
  }

  private void enqueue(int account, int count) {
    for (int i = 0; i < count; i++) {
      scheduler.enqueue(new SharingSimulation.Request(account, 10, 0));
    }
  }

  /**
   * The large account has the larger deficit (10 of 20), the small one the larger relative one (3
   * of 4).
   */
  @Test
  public void shouldStartAccountWithLargestRelativeQuotaDeficitFirst() {
    applyLease(1, 11);
    enqueue(LARGE, 10);
    enqueue(SMALL, 1);
    assertThat(scheduler.assign(0)).hasSize(11);
    applyLease(2, 12);
    enqueue(LARGE, 1);
    enqueue(SMALL, 1);
    List<SlotAssignment<SharingSimulation.Request>> next = scheduler.assign(0);
    assertThat(next).hasSize(1);
    assertThat(next.get(0).request().account()).isEqualTo(SMALL);
  }
}
