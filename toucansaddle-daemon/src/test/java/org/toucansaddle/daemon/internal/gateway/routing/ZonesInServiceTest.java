package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.pacing.WarmUpState;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/** Tests of {@link ZonesInService}. */
public class ZonesInServiceTest {

  private static final long WARM_UP_MILLIS = 3_000;
  private static final int UPSTREAMS = 2_000;
  private static final int RETURNS = 200;

  private final UpstreamTable table = new UpstreamTable();

  private UpstreamReport report(int number, long sequence) {
    return new UpstreamReport(
            "u" + number, "desk", "10.0.0.1:" + number, "za", 1, State.READY, 1, sequence)
        .withWarmUpMillis(0);
  }

  private boolean isAnyWarmInService(ZonesInService zones, List<Upstream> upstreams, long now) {
    return upstreams.stream()
        .anyMatch(u -> zones.isInService(u) && !u.warmUp().isCold(WARM_UP_MILLIS, now));
  }

  // For a moment, upstreams of a zone that came back were in service and not yet in doubt.
  @Test
  public void shouldDoubtUpstreamsBeforeTheyAreInService() throws Exception {
    for (int i = 0; i < UPSTREAMS; i++) {
      table.accept(report(i, 1), 0);
    }
    List<Upstream> upstreams = table.all();
    for (int i = 0; i < RETURNS; i++) {
      long second = 1_000_000_000L * i;
      for (int sequence = 2 * i + 2; sequence < 2 * i + 4; sequence++) {
        WarmUpState.Report report = new WarmUpState.Report(sequence, 0, second, second);
        upstreams.forEach(u -> u.warmUp().report(report));
      }
      ZonesInService zones = new ZonesInService(table, () -> second);
      zones.apply(new ZoneOrders(1, Set.of("za")));
      AtomicBoolean done = new AtomicBoolean();
      CountDownLatch looking = new CountDownLatch(1);
      CompletableFuture<Boolean> seen =
          CompletableFuture.supplyAsync(
              () -> {
                boolean warm = false;
                while (!warm && !done.get()) {
                  warm = isAnyWarmInService(zones, upstreams, second + 1);
                  looking.countDown();
                }
                return warm;
              });
      looking.await();
      zones.apply(new ZoneOrders(2, Set.of()));
      done.set(true);
      assertThat(seen.get()).as("return %d", i).isFalse();
    }
  }
}
