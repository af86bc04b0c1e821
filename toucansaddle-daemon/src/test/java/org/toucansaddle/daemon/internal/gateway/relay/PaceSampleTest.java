package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.pacing.UpstreamPace.Evidence;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.UpstreamMessage;

/** Tests which attempts count as having kept pace. */
public class PaceSampleTest {

  private static final int TARGET_MILLIS = 300;

  private long nowNanos;
  private RouterState state;
  private Upstream upstream;

  @BeforeMethod
  public void createState() {
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    state = new RouterState(content -> null, 60_000, () -> nowNanos, true);
    state.update("control", FleetUpdate.newBuilder().setComplete(true).setRouters(1).build());
    UpstreamMessage message =
        UpstreamMessage.newBuilder()
            .setId("u")
            .setService("s")
            .setAddress("10.0.0.1:1")
            .setSlots(12)
            .setState(State.READY.ordinal())
            .setStartedAtMillis(1)
            .build();
    state.update("control", FleetUpdate.newBuilder().addUpstreams(message).build());
    upstream = state.upstreams().ready("s").get(0);
  }

  private PaceSample begin(double expectedMillis) {
    return new PaceSample(state.paced(), upstream, expectedMillis, TARGET_MILLIS, nowNanos);
  }

  private void assertResult(int kept, int behind) {
    Evidence evidence = upstream.pace().evidence();
    assertThat(evidence.kept()).isEqualTo(kept);
    assertThat(evidence.behind()).isEqualTo(behind);
  }

  @DataProvider
  public Object[][] answers() {
    return new Object[][] {
      // expected, lag and time to the first token in milliseconds, whether it kept pace
      {50, 0, 299, true},
      {50, 0, 301, false},
      {200, 0, 399, true},
      {200, 0, 401, false},
      {50, 200, 480, true},
      {50, 200, 520, false},
    };
  }

  @Test(dataProvider = "answers")
  public void shouldCountOneAnswer(double expected, double lag, long millis, boolean keepsPace) {
    PaceSample sample = begin(expected);
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    sample.onData(lag, nowNanos);
    sample.onData(lag, nowNanos);
    assertResult(keepsPace ? 1 : 0, keepsPace ? 0 : 1);
  }

  /** Guards against an upstream that answers at once and breaks later, and seems sound. */
  @Test
  public void shouldCountAResponseThatBreaksLater() {
    PaceSample sample = begin(50);
    sample.onData(0, nowNanos);
    sample.onFailure(nowNanos);
    sample.onFailure(nowNanos);
    assertResult(1, 1);
  }

  @DataProvider
  public Object[][] abandoned() {
    return new Object[][] {{100, 0}, {301, 1}};
  }

  @Test(dataProvider = "abandoned")
  public void shouldCountAbandonedRequestOnlyIfItIsLate(long millis, int behind) {
    PaceSample sample = begin(50);
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    sample.onAbandoned(0, nowNanos);
    assertResult(0, behind);
  }
}
