package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/**
 * A router resumes after it was suspended for so long that its dispatcher evicted it.
 *
 * <p>Guards against a dispatcher that restarts the lease sequence at 1: the router ignored the new
 * leases as older ones, and rejected every request for over a minute while it held slots.
 */
public class SuspendedRouterTest {

  private static final long EPOCH = 7;
  private static final int STEP_MILLIS = 100;

  private final PoolDispatcher dispatcher =
      PoolDispatcher.create(SharingSettings.defaults(), EPOCH, 0);
  private final PoolScheduler<SharingSimulation.Request> suspended =
      PoolScheduler.create(SharingMode.FLEET);
  private long now;
  private long demandSequence;

  private void exchangeMessages(boolean running) {
    now += STEP_MILLIS;
    int slots = 4 + (int) (now / 100 % 2) * 4; // Makes the leases change.
    dispatcher.updateUpstream(new UpstreamSlots("u1", 1, "10.0.0.1:80", "z", slots, false), now);
    sendDemand("unaffected", PoolScheduler.create(SharingMode.FLEET));
    if (running) {
      sendDemand("suspended", suspended);
    }
    List<Lease> leases = dispatcher.poll(now);
    leases.stream()
        .filter(lease -> running && lease.router().equals("suspended"))
        .forEach(lease -> suspended.applyLease(lease, now));
  }

  private void sendDemand(String router, PoolScheduler<SharingSimulation.Request> scheduler) {
    dispatcher.updateDemand(
        new RouterDemand(
            router,
            1,
            ++demandSequence,
            scheduler.leaseEpoch(),
            scheduler.leaseSequence(),
            scheduler.accounts(),
            scheduler.upstreams(),
            Map.of()),
        now);
  }

  private boolean serveRequest() {
    SharingSimulation.Request request = new SharingSimulation.Request(1, 10, now);
    suspended.enqueue(request);
    boolean started = false;
    for (int i = 0; i < 20 && !started; i++) {
      exchangeMessages(true);
      started = !suspended.assign(now).isEmpty();
    }
    if (started) {
      suspended.releaseSlot(request);
      suspended.releaseContendedSlots();
    }
    return started;
  }

  @Test
  public void shouldServeAgainAfterDispatcherEvictedRouter() {
    Set<String> both = Set.of("suspended", "unaffected");
    dispatcher.setMembers(both);
    dispatcher.setLiveRouters(both, now);
    for (int i = 0; i < 400; i++) {
      assertThat(serveRequest()).as("request %d before the suspension", i).isTrue();
    }
    assertThat(suspended.leaseSequence()).isGreaterThan(100);

    for (int i = 0; i < 90; i++) {
      exchangeMessages(false);
      dispatcher.setLiveRouters(Set.of("unaffected"), now);
    }
    dispatcher.setLiveRouters(both, now);
    for (int i = 0; i < 40; i++) {
      exchangeMessages(true);
    }
    assertThat(serveRequest()).as("request after the suspension").isTrue();
  }
}
