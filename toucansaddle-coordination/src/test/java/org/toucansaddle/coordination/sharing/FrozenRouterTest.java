package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/**
 * A router that stood still for so long that its dispatcher forgot it, and woke again.
 *
 * <p>It once refused every request for over a minute while it held slots: the dispatcher counted
 * its leases from 1 again, and the router took them for older ones.
 */
public class FrozenRouterTest {

  private static final long EPOCH = 7;
  private static final int STEP_MILLIS = 100;

  private final PoolDispatcher dispatcher =
      PoolDispatcher.create(SharingSettings.defaults(), EPOCH, 0);
  private final PoolScheduler<SharingSimulation.Request> frozen =
      PoolScheduler.create(SharingMode.FLEET);
  private long now;
  private long demands;

  private void exchange(boolean awake) {
    now += STEP_MILLIS;
    int slots = 4 + (int) (now / 100 % 2) * 4; // Changes the leases now and then.
    dispatcher.announced(new UpstreamSlots("u1", 1, "10.0.0.1:80", "z", slots, false), now);
    demand("other", PoolScheduler.create(SharingMode.FLEET));
    if (awake) {
      demand("frozen", frozen);
    }
    List<Lease> leases = dispatcher.poll(now);
    leases.stream()
        .filter(lease -> awake && lease.router().equals("frozen"))
        .forEach(lease -> frozen.applyLease(lease, now));
  }

  private void demand(String router, PoolScheduler<SharingSimulation.Request> scheduler) {
    dispatcher.demanded(
        new RouterDemand(
            router,
            1,
            ++demands,
            scheduler.leaseEpoch(),
            scheduler.leaseSequence(),
            scheduler.accounts(),
            scheduler.upstreams(),
            Map.of()),
        now);
  }

  private boolean serve() {
    SharingSimulation.Request request = new SharingSimulation.Request(1, 10, now);
    frozen.enqueue(request);
    boolean started = false;
    for (int i = 0; i < 20 && !started; i++) {
      exchange(true);
      started = !frozen.assign(now).isEmpty();
    }
    if (started) {
      frozen.finished(request);
      frozen.releaseWanted();
    }
    return started;
  }

  @Test
  public void shouldServeAgainAfterItsDispatcherForgotIt() {
    Set<String> both = Set.of("frozen", "other");
    dispatcher.setRoster(both);
    dispatcher.setLiveRouters(both, now);
    for (int i = 0; i < 400; i++) {
      assertThat(serve()).as("request %d before the freeze", i).isTrue();
    }
    assertThat(frozen.leaseSequence()).isGreaterThan(100);

    for (int i = 0; i < 90; i++) {
      exchange(false);
      dispatcher.setLiveRouters(Set.of("other"), now);
    }
    dispatcher.setLiveRouters(both, now);
    for (int i = 0; i < 40; i++) {
      exchange(true);
    }
    assertThat(serve()).as("a request after the freeze").isTrue();
  }
}
