package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/** Tests of {@link UpstreamRegistry}. */
public class UpstreamRegistryTest {

  private final AtomicLong clock = new AtomicLong(1);
  private final UpstreamRegistry registry = new UpstreamRegistry(clock::get);

  private static UpstreamReport report(String id, State state, long startedAt, long sequence) {
    return new UpstreamReport(id, "desk", "10.0.0.1:80", "z", 6, state, startedAt, sequence);
  }

  @Test
  public void shouldReturnTrueOnlyForChangesThatAffectRequests() {
    assertThat(registry.update(report("a", State.READY, 10, 1))).isTrue();
    assertThat(registry.update(report("a", State.READY, 10, 2))).isFalse();
    assertThat(registry.update(report("a", State.DRAINING, 10, 3))).isTrue();
    assertThat(registry.update(report("a", State.READY, 20, 1))).isTrue();
  }

  @Test
  public void shouldReturnTrueOnceTheSoftwareVersionIsKnown() {
    registry.update(report("f", State.READY, 10, 1));
    UpstreamReport versioned = report("f", State.READY, 10, 2).withSoftwareVersion("v1");
    assertThat(registry.update(versioned)).isTrue();
    assertThat(registry.update(report("f", State.READY, 10, 3))).isFalse();

    assertThat(registry.find("f").orElseThrow().softwareVersion()).isEqualTo("v1");
    assertThat(registry.find("f").orElseThrow().sequence()).isEqualTo(3);
  }

  @Test
  public void shouldNotCarryTheSoftwareVersionOverToTheNextStart() {
    registry.update(report("g", State.READY, 10, 9).withSoftwareVersion("v1"));
    registry.update(report("g", State.READY, 20, 1));
    assertThat(registry.find("g").orElseThrow().softwareVersion()).isEmpty();
  }

  @Test
  public void shouldIgnoreDelayedReportsAfterADeregistration() {
    registry.update(report("b", State.READY, 10, 1));
    registry.deregister("b", 5_000);
    registry.update(report("b", State.READY, 10, 2));

    assertThat(registry.find("b").orElseThrow().state()).isEqualTo(State.GONE);
  }

  @Test
  public void shouldKeepTheDeregistrationOfAnUpstreamThatReportedToAnotherDaemon() {
    registry.deregister("c", 5_000);
    registry.update(report("c", State.READY, 4_000, 7));
    assertThat(registry.find("c").orElseThrow().state()).isEqualTo(State.GONE);

    registry.update(report("c", State.READY, 6_000, 1));
    assertThat(registry.find("c").orElseThrow().state()).isEqualTo(State.READY);
  }

  @Test
  public void shouldListEntriesChangedAfterAChange() {
    registry.update(report("d", State.READY, 10, 1));
    long lastSeen = registry.lastChange();
    registry.update(report("e", State.READY, 10, 1));

    assertThat(registry.changedAfter(lastSeen))
        .extracting(e -> e.report().id())
        .containsExactly("e");
  }
}
