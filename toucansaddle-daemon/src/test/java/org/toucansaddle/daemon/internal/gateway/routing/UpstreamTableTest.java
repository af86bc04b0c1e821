package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/** Tests of {@link UpstreamTable}. */
public class UpstreamTableTest {

  private final UpstreamTable table = new UpstreamTable();

  private static UpstreamReport report(
      String id, String service, String address, State state, long startedAt, long sequence) {
    return new UpstreamReport(id, service, address, "z", 6, state, startedAt, sequence);
  }

  @Test
  public void shouldNotListADrainingUpstreamAsReady() {
    table.accept(report("a", "desk", "10.0.0.1:80", State.READY, 10, 1), 0);
    assertThat(table.ready("desk")).extracting(Upstream::id).containsExactly("a");

    table.accept(report("a", "desk", "10.0.0.1:80", State.DRAINING, 10, 2), 0);
    assertThat(table.ready("desk")).isEmpty();
  }

  @Test
  public void shouldUseOnlyTheUpstreamWithTheLatestStartAtAnAddress() {
    table.accept(report("old", "desk", "10.0.0.1:80", State.READY, 10, 5), 0);
    table.accept(report("new", "engine", "10.0.0.1:80", State.READY, 20, 1), 0);
    table.accept(report("old", "desk", "10.0.0.1:80", State.READY, 10, 6), 0);

    assertThat(table.ready("desk")).isEmpty();
    assertThat(table.ready("engine")).extracting(Upstream::id).containsExactly("new");
  }

  @Test
  public void shouldClearTheLoadWhenAnUpstreamRestartsUnderItsId() {
    table.accept(report("a", "desk", "10.0.0.1:80", State.READY, 10, 5), 0);
    table.ready("desk").get(0).recordRequestStarted(100, 100);
    table.accept(report("a", "desk", "10.0.0.1:80", State.READY, 20, 1), 0);

    assertThat(table.ready("desk").get(0).requests()).isZero();
  }

  @Test
  public void shouldRemoveAnUpstreamAtADepartureWithoutAServiceName() {
    table.accept(report("a", "desk", "10.0.0.1:80", State.READY, 10, 5), 0);
    table.accept(report("a", "", "", State.GONE, 9_000, 0), 0);
    assertThat(table.ready("desk")).isEmpty();
  }

  @Test
  public void shouldEvictUpstreamsWithoutARecentReport() {
    table.accept(report("a", "desk", "10.0.0.1:80", State.READY, 10, 5), 0);
    table.evictSilent(TimeUnit.SECONDS.toNanos(61));
    assertThat(table.all()).isEmpty();
  }
}
