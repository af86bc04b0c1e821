package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.upstream.ReportedLoad;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.protocol.generated.LoadNotice;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Tests of {@link WorkReports}. */
public class WorkReportsTest {

  private static final long NOW = TimeUnit.SECONDS.toNanos(1_000);
  private static final long STARTED_AT_MILLIS = 7;

  private final ReportedLoad load = new ReportedLoad(3, 1, 8, OptionalInt.of(140));
  private int routers;
  private WorkReports reports;
  private Upstream upstream;

  @BeforeMethod
  public void createUpstream() {
    UpstreamTable table = new UpstreamTable();
    String address = "10.0.0.1:80";
    table.accept(
        new UpstreamReport("u", "s", address, "z", 8, State.READY, STARTED_AT_MILLIS, 1), NOW);
    routers = 95;
    PacedUpstreams paced = new PacedUpstreams(table, () -> routers, () -> NOW, u -> false);
    reports = new WorkReports(table, () -> routers, paced);
    upstream = table.ready("s").get(0);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static LoadNotice notice(long startedAtMillis, int slots) {
    return LoadNotice.newBuilder()
        .setRunning(3)
        .setWaiting(1)
        .setSlots(slots)
        .setWorkPercent(140)
        .setAgeMillis(100)
        .setStartedAtMillis(startedAtMillis)
        .build();
  }

  private static List<UpstreamWork> works(LoadNotice notice) {
    return List.of(UpstreamWork.newBuilder().setUpstream("u").setLoad(notice).build());
  }

  @Test
  public void shouldReportAFreshWordToThisRouter() {
    upstream.condition().recordLoad(load, NOW - millis(100));
    assertThat(reports.local(NOW))
        .singleElement()
        .extracting(UpstreamWork::getLoad)
        .isEqualTo(notice(STARTED_AT_MILLIS, 8));
    assertThat(reports.local(NOW + millis(2_000))).isEmpty();
  }

  @Test
  public void shouldNotReportTheWordsToOtherRoutersAgain() {
    reports.mergeRemote(works(notice(STARTED_AT_MILLIS, 8)), NOW);
    assertThat(upstream.condition().loadReport(NOW).orElseThrow().load()).isEqualTo(load);
    assertThat(upstream.requests(NOW)).isEqualTo(4);
    assertThat(reports.local(NOW)).isEmpty();
  }

  /** Few routers report often: guards against a word that is taken for newer than their counts. */
  @Test
  public void shouldPreferTheCountsOfFewRoutersToAnOlderWord() {
    routers = 8;
    reports.mergeRemote(works(notice(STARTED_AT_MILLIS, 8)), NOW);
    assertThat(upstream.requests(NOW)).isZero();
  }

  @DataProvider
  public Object[][] unusable() {
    return new Object[][] {
      {notice(STARTED_AT_MILLIS - 1, 8)}, {notice(STARTED_AT_MILLIS + 1, 8)},
      {notice(STARTED_AT_MILLIS, 0)}, {LoadNotice.getDefaultInstance()},
    };
  }

  @Test(dataProvider = "unusable")
  public void shouldIgnoreWordsOfOtherStartsAndFalseOnes(LoadNotice notice) {
    reports.mergeRemote(works(notice), NOW);
    assertThat(upstream.condition().loadReport(NOW)).isEmpty();
  }
}
