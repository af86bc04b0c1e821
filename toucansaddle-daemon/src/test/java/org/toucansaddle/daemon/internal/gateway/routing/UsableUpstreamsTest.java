package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.Finding;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Tests which upstreams {@link RouterState} uses while some of them hang. */
public class UsableUpstreamsTest {

  private static final int SILENCE_MILLIS = 6_000;

  /** Number of stuck requests that pauses an upstream. */
  private static final int STUCK_REQUESTS_TO_PAUSE = 2;

  private long nowNanos;
  private RouterState state;

  @BeforeMethod
  public void createState() {
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    state = new RouterState(content -> null, SILENCE_MILLIS, () -> nowNanos);
    FleetUpdate.Builder update = FleetUpdate.newBuilder().setComplete(true);
    for (int i = 1; i <= 4; i++) {
      update.addUpstreams(
          UpstreamMessage.newBuilder()
              .setId("u" + i)
              .setService("s")
              .setAddress("10.0.0." + i + ":1")
              .setSlots(4)
              .setState(State.READY.ordinal())
              .setStartedAtMillis(i)
              .setSequence(1));
    }
    state.update("control", update.build());
  }

  private void recordFindings(Finding finding, String ids) {
    for (Upstream upstream : state.upstreams().ready("s")) {
      if (ids.contains(upstream.id().substring(1))) {
        int requests = finding == Finding.OVERTAKEN ? STUCK_REQUESTS_TO_PAUSE : 1;
        for (int i = 0; i < requests; i++) {
          upstream.hangDetector().recordFinding(finding, nowNanos);
        }
      }
    }
  }

  private String usable(boolean repeatable) {
    Set<String> ids = new TreeSet<>();
    state.usableUpstreams("s", repeatable).forEach(upstream -> ids.add(upstream.id().substring(1)));
    return String.join("", ids);
  }

  @DataProvider
  public Object[][] findings() {
    return new Object[][] {
      // overtaken, all silent, usable for a request that runs once, for a repeatable request
      {"", "", "1234", "1234"},
      {"1", "", "234", "234"},
      {"", "1", "234", "1234"},
      {"1", "2", "34", "234"},
      {"1", "23", "234", "234"},
      {"12", "3", "34", "34"},
      {"123", "", "1234", "1234"},
      {"", "123", "1234", "1234"},
    };
  }

  @Test(dataProvider = "findings")
  public void shouldLeaveOutHangingUpstreamsWhileHalfRemain(
      String overtaken, String silent, String once, String repeatable) {
    recordFindings(Finding.OVERTAKEN, overtaken);
    recordFindings(Finding.ALL_SILENT, silent);
    assertThat(usable(false)).isEqualTo(once);
    assertThat(usable(true)).isEqualTo(repeatable);
  }

  @Test
  public void shouldPauseAnUpstreamThatHangsAtOtherRouters() {
    UpstreamWork.Builder work = UpstreamWork.newBuilder().setUpstream("u1").setAnswered(5);
    state.updateRemoteWork(List.of(work.setStuck(1).build()));
    assertThat(usable(true)).isEqualTo("1234");
    state.updateRemoteWork(List.of(work.setStuck(4).build()));
    assertThat(usable(true)).isEqualTo("234");
    nowNanos += TimeUnit.SECONDS.toNanos(3);
    state.updateRemoteWork(List.of());
    assertThat(usable(true)).as("after the pause").isEqualTo("1234");
    assertThat(usable(false)).isEqualTo("234");
  }

  @Test
  public void shouldReportCountsOfStuckAndAnsweredRequests() {
    Upstream upstream = state.upstreams().ready("s").get(0);
    upstream.hangDetector().recordFinding(Finding.OVERTAKEN, nowNanos);
    upstream.hangDetector().recordAnswer(nowNanos, nowNanos);
    List<UpstreamWork> reportedWork = state.createReport().getWorkList();
    assertThat(reportedWork).hasSize(1);
    assertThat(reportedWork.get(0).getStuck()).isEqualTo(1);
    assertThat(reportedWork.get(0).getAnswered()).isEqualTo(1);
    nowNanos += TimeUnit.SECONDS.toNanos(9);
    assertThat(state.createReport().getWorkList()).isEmpty();
  }

  private void breakResponses(String ids) {
    for (Upstream upstream : state.upstreams().ready("s")) {
      if (ids.contains(upstream.id().substring(1))) {
        upstream.markBroken(nowNanos);
      }
    }
  }

  @Test
  public void shouldAvoidUpstreamThatBrokeItsResponseForAWhile() {
    breakResponses("1");
    assertThat(usable(true)).doesNotContain("1");
    nowNanos += TimeUnit.SECONDS.toNanos(1);
    assertThat(usable(true)).contains("1");
  }

  /** Guards against one faulty request that leaves the requests of all others without upstream. */
  @Test
  public void shouldUseUpstreamsThatBrokeResponsesIfAllDid() {
    breakResponses("1234");
    assertThat(usable(true)).contains("1", "2", "3", "4");
  }
}
