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
import org.toucansaddle.daemon.internal.gateway.routing.AnswerOrder.Finding;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Pattern: upstreams that hang, here or for other routers, beside too few that are well. */
public class UsableUpstreamsTest {

  private static final int SILENCE_MILLIS = 6_000;

  private long now;
  private RouterState state;

  @BeforeMethod
  public void createState() {
    now = TimeUnit.SECONDS.toNanos(100);
    state = new RouterState(content -> null, SILENCE_MILLIS, () -> now);
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

  private void find(Finding finding, String ids) {
    for (Upstream upstream : state.upstreams().ready("s")) {
      if (ids.contains(upstream.id().substring(1))) {
        upstream.order().found(finding, now);
      }
    }
  }

  private String usable(boolean repeatable) {
    Set<String> ids = new TreeSet<>();
    state.usable("s", repeatable).forEach(upstream -> ids.add(upstream.id().substring(1)));
    return String.join("", ids);
  }

  @DataProvider
  public Object[][] findings() {
    return new Object[][] {
      // overtaken, all silent, for requests that run once, for those that may be repeated
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
  public void shouldPassOverThoseThatHangWhileHalfRemain(
      String overtaken, String silent, String once, String repeatable) {
    find(Finding.OVERTAKEN, overtaken);
    find(Finding.ALL_SILENT, silent);
    assertThat(usable(false)).isEqualTo(once);
    assertThat(usable(true)).isEqualTo(repeatable);
  }

  @Test
  public void shouldGoByWhatOtherRoutersFoundAsLongAsTheySaySo() {
    UpstreamWork stuck = UpstreamWork.newBuilder().setUpstream("u1").setStuckRouters(1).build();
    UpstreamWork tried = UpstreamWork.newBuilder().setUpstream("u2").setProbingRouters(1).build();
    state.workOfOthers(List.of(stuck, tried));
    assertThat(usable(false)).isEqualTo("34");
    assertThat(usable(true)).isEqualTo("234");
    state.workOfOthers(List.of());
    assertThat(usable(false)).isEqualTo("1234");
  }

  @Test
  public void shouldTellOtherRoutersWhatItFound() {
    find(Finding.OVERTAKEN, "1");
    find(Finding.ALL_SILENT, "2");
    List<UpstreamWork> told = state.report().getWorkList();
    assertThat(told).hasSize(2);
    assertThat(told).anyMatch(w -> w.getUpstream().equals("u1") && w.getStuckRouters() == 1);
    assertThat(told).anyMatch(w -> w.getUpstream().equals("u2") && w.getProbingRouters() == 1);
    now += TimeUnit.SECONDS.toNanos(9);
    assertThat(state.report().getWorkList()).isEmpty();
  }
}
