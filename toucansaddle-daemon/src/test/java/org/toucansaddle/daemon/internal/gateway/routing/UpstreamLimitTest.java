package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.LimitNotice;
import org.toucansaddle.protocol.generated.ServicePart;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Tests how {@link RouterState} shares what upstreams say of their limits with other routers. */
public class UpstreamLimitTest {

  private static final int REPORT_TIMEOUT_MILLIS = 6_000;
  private static final int ROUTERS = 4;
  private static final OptionalDouble LIMIT = OptionalDouble.of(5.8);

  private long nowNanos;
  private RouterState state;

  @BeforeMethod
  public void createState() {
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    state = createRouter(7);
  }

  private RouterState createRouter(long upstreamStartedAt) {
    RouterState router = new RouterState(content -> null, REPORT_TIMEOUT_MILLIS, () -> nowNanos);
    UpstreamMessage upstream =
        UpstreamMessage.newBuilder()
            .setId("u1")
            .setService("s")
            .setAddress("10.0.0.1:1")
            .setSlots(4)
            .setState(State.READY.ordinal())
            .setStartedAtMillis(upstreamStartedAt)
            .setSequence(1)
            .build();
    router.update(
        "control",
        FleetUpdate.newBuilder()
            .setComplete(true)
            .setRouters(ROUTERS)
            .addUpstreams(upstream)
            .build());
    return router;
  }

  private static Upstream upstreamOf(RouterState router) {
    return router.upstreams().ready("s").get(0);
  }

  private List<UpstreamWork> reportedWork() {
    return state.createReport().getWorkList();
  }

  @Test
  public void shouldTellOtherRoutersOfALimitAndOfItsEnd() {
    RouterState other = createRouter(7);
    state.recordLimit(upstreamOf(state), LIMIT);
    other.updateRemoteWork(reportedWork());
    assertThat(upstreamOf(other).limit().isNamed()).isTrue();
    nowNanos += TimeUnit.SECONDS.toNanos(1);
    state.recordLimit(upstreamOf(state), OptionalDouble.empty());
    other.updateRemoteWork(reportedWork());
    assertThat(upstreamOf(other).limit().isNamed()).isFalse();
  }

  @DataProvider
  public Object[][] starts() {
    return new Object[][] {{6}, {8}};
  }

  /** Guards against a limit of one start of an upstream that is applied to another one. */
  @Test(dataProvider = "starts")
  public void shouldIgnoreLimitOfAnotherStart(long startedAt) {
    RouterState other = createRouter(startedAt);
    state.recordLimit(upstreamOf(state), LIMIT);
    other.updateRemoteWork(reportedWork());
    assertThat(upstreamOf(other).limit().notice()).isEmpty();
    other.recordLimit(upstreamOf(other), LIMIT);
    nowNanos += TimeUnit.SECONDS.toNanos(1);
    state.recordLimit(upstreamOf(state), OptionalDouble.empty());
    other.updateRemoteWork(reportedWork());
    assertThat(upstreamOf(other).limit().isNamed()).isTrue();
  }

  @Test
  public void shouldReportNothingOfUpstreamsThatNeverNamedALimit() {
    state.recordLimit(upstreamOf(state), OptionalDouble.empty());
    assertThat(reportedWork()).isEmpty();
  }

  /** Guards against a router that is cut off and keeps a part that others have taken over. */
  @Test
  public void shouldTakeAnEqualPartOnceItsOwnIsOld() {
    ServicePart part = ServicePart.newBuilder().setService("s").setFraction(0.7f).build();
    state.updateLimitParts(List.of(part));
    assertThat(state.limitPart("s").fraction()).isBetween(0.699, 0.701);
    assertThat(state.limitPart("other").fraction()).isEqualTo(1.0 / ROUTERS);
    nowNanos += TimeUnit.SECONDS.toNanos(3);
    assertThat(state.limitPart("s").fraction()).isEqualTo(1.0 / ROUTERS);
  }

  @DataProvider
  public Object[][] capacities() {
    return new Object[][] {
      // limit in requests a second, capacity in tokens a second for requests of 1,000 tokens
      {OptionalDouble.empty(), 20_000},
      {OptionalDouble.of(5), 5_000},
      {OptionalDouble.of(50), 20_000}
    };
  }

  /**
   * Guards against shares of accounts in a throughput that the limits of upstreams do not allow.
   */
  @Test(dataProvider = "capacities")
  public void shouldShareOutWhatTheLimitsAllow(OptionalDouble limit, double tokensPerSecond) {
    for (int i = 0; i < 10; i++) {
      state.shares().recordDemand("large", 1_500);
      state.shares().recordDemand("small", 500);
    }
    state.recordLimit(upstreamOf(state), limit);
    assertThat(state.tokensPerSecond("s", 20_000)).isEqualTo(tokensPerSecond);
  }

  @Test
  public void shouldShareOutTheNominalThroughputWhileTheSizeOfRequestsIsUnknown() {
    state.recordLimit(upstreamOf(state), LIMIT);
    assertThat(state.tokensPerSecond("s", 20_000)).isEqualTo(20_000);
  }

  @Test
  public void shouldMergeLimitByTheTimeOfItsResponse() {
    state.recordLimit(upstreamOf(state), LIMIT);
    nowNanos += TimeUnit.MILLISECONDS.toNanos(500);
    LimitNotice older = LimitNotice.newBuilder().setAgeMillis(700).setStartedAtMillis(7).build();
    state.updateRemoteWork(
        List.of(UpstreamWork.newBuilder().setUpstream("u1").setLimit(older).build()));
    assertThat(upstreamOf(state).limit().isNamed()).isTrue();
    LimitNotice newer = older.toBuilder().setAgeMillis(300).build();
    state.updateRemoteWork(
        List.of(UpstreamWork.newBuilder().setUpstream("u1").setLimit(newer).build()));
    assertThat(upstreamOf(state).limit().isNamed()).isFalse();
  }
}
