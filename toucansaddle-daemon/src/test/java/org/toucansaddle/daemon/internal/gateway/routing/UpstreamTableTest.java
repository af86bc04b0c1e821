package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/** Tests of {@link UpstreamTable}. */
public class UpstreamTableTest {

  private UpstreamTable table;

  @BeforeMethod
  public void createTable() {
    table = new UpstreamTable();
  }

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

    assertThat(table.ready("desk").get(0).requests(0)).isZero();
  }

  @Test
  public void shouldRemoveAnUpstreamAtADepartureWithoutAServiceName() {
    table.accept(report("a", "desk", "10.0.0.1:80", State.READY, 10, 5), 0);
    table.accept(report("a", "", "", State.GONE, 9_000, 0), 0);
    assertThat(table.ready("desk")).isEmpty();
  }

  private static UpstreamReport versioned(
      String id, State state, long startedAt, long sequence, String version) {
    String address = "10.0.0.1:" + id.charAt(0);
    return report(id, "desk", address, state, startedAt, sequence).withSoftwareVersion(version);
  }

  private String versionOf(String id) {
    return table.all().stream()
        .filter(upstream -> upstream.id().equals(id))
        .findFirst()
        .orElseThrow()
        .report()
        .softwareVersion();
  }

  @DataProvider
  public Object[][] reportsWithoutVersion() {
    return new Object[][] {
      {"a later report", report("a", "desk", "10.0.0.1:a", State.READY, 10, 6)},
      {"a late one", report("a", "desk", "10.0.0.1:a", State.READY, 10, 4)},
      {"a deregistration", report("a", "desk", "10.0.0.1:a", State.GONE, 10, 0)},
      {"a departure without a service", report("a", "", "", State.GONE, 9_000, 0)},
    };
  }

  /** Guards against a version that is lost when an older control daemon forwards a report. */
  @Test(dataProvider = "reportsWithoutVersion")
  public void shouldKeepTheSoftwareVersionOfAStart(String description, UpstreamReport next) {
    table.accept(versioned("a", State.READY, 10, 5, "v1"), 0);
    table.accept(next, 0);
    assertThat(versionOf("a")).as(description).isEqualTo("v1");
    assertThat(table.softwareVersions("desk")).as(description).containsExactly("v1");
  }

  @Test
  public void shouldLearnTheSoftwareVersionFromAnyReportOfAStart() {
    table.accept(versioned("a", State.READY, 10, 5, ""), 0);
    assertThat(table.softwareVersions("desk")).containsExactly("");

    assertThat(table.accept(versioned("a", State.READY, 10, 4, "v1"), 0)).isTrue();
    assertThat(table.accept(versioned("a", State.READY, 10, 3, "v1"), 0)).isFalse();
    assertThat(table.softwareVersions("desk")).containsExactly("v1");
    assertThat(table.ready("desk").get(0).report().sequence()).isEqualTo(5);
  }

  @Test
  public void shouldListTheSoftwareVersionsOfUpstreamsInAnyState() {
    table.accept(versioned("a", State.READY, 10, 1, "v1"), 0);
    table.accept(versioned("b", State.DRAINING, 10, 1, "v1.1"), 0);
    table.accept(versioned("c", State.READY, 10, 1, "v1.2"), 0);
    table.accept(versioned("c", State.GONE, 10, 2, "v1.2"), 0);
    table.accept(report("d", "engine", "10.0.0.2:1", State.READY, 10, 1), 0);

    assertThat(table.softwareVersions("desk")).containsExactlyInAnyOrder("v1", "v1.1", "v1.2");
    assertThat(table.softwareVersions("engine")).containsExactly("");
    assertThat(table.softwareVersions("unknown")).isEmpty();
  }

  /** Guards against streams of a version that looks as if it had never served. */
  @Test
  public void shouldListTheSoftwareVersionOfAReplacedStartUntilItsReportsAreOld() {
    table.accept(versioned("a", State.READY, 10, 9, "v1"), TimeUnit.SECONDS.toNanos(1));
    table.accept(versioned("a", State.READY, 20, 1, "v1.1"), TimeUnit.SECONDS.toNanos(30));
    table.evictSilent(TimeUnit.SECONDS.toNanos(60));
    assertThat(table.softwareVersions("desk")).containsExactlyInAnyOrder("v1", "v1.1");

    table.evictSilent(TimeUnit.SECONDS.toNanos(61));
    assertThat(table.softwareVersions("desk")).containsExactly("v1.1");
    table.evictSilent(TimeUnit.SECONDS.toNanos(91));
    assertThat(table.softwareVersions("desk")).isEmpty();
  }

  @Test
  public void shouldEvictUpstreamsWithoutARecentReport() {
    table.accept(report("a", "desk", "10.0.0.1:80", State.READY, 10, 5), 0);
    table.evictSilent(TimeUnit.SECONDS.toNanos(61));
    assertThat(table.all()).isEmpty();
  }
}
