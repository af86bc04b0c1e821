package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.pacing.UpstreamPace;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.ServiceDefinition.WarmUp;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.control.FleetState;
import org.toucansaddle.daemon.internal.gateway.control.ZoneOrdersCodec;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.PaceEvidence;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Tests how a cold upstream, or one that may be cold, is paced. */
public class PaceOfColdUpstreamTest {

  private static final int TARGET_MILLIS = 300;
  private static final int FAST_MILLIS = 100;
  private static final int SLOW_MILLIS = 700;
  private static final int WARM_UP_MILLIS = 4_000;
  private static final int UPSTREAMS = 6;

  private long nowNanos;
  private long sequence;
  private RouterState router;

  @BeforeMethod
  public void createRouter() {
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    sequence = 1;
    router = new RouterState(content -> document(), 60_000, () -> nowNanos, true);
    router.applyConfirmed(FleetState.none().withDocument(new StoredDocument(1, new byte[] {1})));
    FleetUpdate.Builder first = FleetUpdate.newBuilder().setComplete(true).setRouters(60);
    for (int i = 0; i < UPSTREAMS; i++) {
      first.addUpstreams(message(i, 10, 0));
    }
    router.update("control", first.build());
    advance(5_000);
  }

  private static FleetDocument document() {
    ServiceDefinition service =
        new ServiceDefinition(
            "s", "", 100, Optional.empty(), Optional.of(new WarmUp(WARM_UP_MILLIS, 4)));
    return new FleetDocument(
        1, List.of(), List.of(service), Optional.empty(), CallerLimits.defaults());
  }

  private void advance(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private UpstreamMessage message(int index, long startedAtMillis, int warmUpMillis) {
    return UpstreamMessage.newBuilder()
        .setId("u" + index)
        .setService("s")
        .setAddress("10.0.0." + index + ":1")
        .setZone("z" + index % 3)
        .setSlots(12)
        .setState(State.READY.ordinal())
        .setStartedAtMillis(startedAtMillis)
        .setSequence(sequence++)
        .setWarmUpMillis(warmUpMillis)
        .build();
  }

  private void report(int index, long startedAtMillis, int warmUpMillis) {
    UpstreamMessage message = message(index, startedAtMillis, warmUpMillis);
    router.update("control", FleetUpdate.newBuilder().addUpstreams(message).build());
  }

  /** Reports a warm upstream twice, which ends a doubt. */
  private void reportWarmTwice(int index, long startedAtMillis) {
    for (int i = 0; i < 2; i++) {
      advance(1_000);
      report(index, startedAtMillis, 0);
    }
    advance(1);
  }

  private Upstream start(int warmUpMillis) {
    report(0, 20, warmUpMillis);
    return find(0);
  }

  private Upstream find(int index) {
    return router.upstreams().ready("s").stream()
        .filter(upstream -> upstream.id().equals("u" + index))
        .findFirst()
        .orElseThrow();
  }

  private PaceSample send(Upstream upstream) {
    advance(1);
    return new PaceSample(router.paced(), upstream, 50, TARGET_MILLIS, nowNanos);
  }

  private void answer(Upstream upstream, int millis) {
    PaceSample sample = send(upstream);
    advance(millis);
    sample.onData(0, nowNanos);
  }

  /** Returns the pace of an upstream once it has kept pace with two requests. */
  private double paceAfterTwoAnswers(Upstream upstream) {
    answer(upstream, FAST_MILLIS);
    answer(upstream, FAST_MILLIS);
    return upstream.pace().pace();
  }

  /** What a request to a cold upstream comes to. */
  @FunctionalInterface
  private interface Ending {
    void end(PaceSample sample, long nowNanos);
  }

  @DataProvider
  public Object[][] endings() {
    return new Object[][] {
      {"fast", FAST_MILLIS, (Ending) (sample, now) -> sample.onData(0, now)},
      {"slow", SLOW_MILLIS, (Ending) (sample, now) -> sample.onData(0, now)},
      {"given up", SLOW_MILLIS, (Ending) (sample, now) -> sample.onAbandoned(0, now)},
      {"rejected", FAST_MILLIS, (Ending) (sample, now) -> sample.onRejected(now)},
    };
  }

  /** Guards against a new upstream that is judged by the slow answers of its warm-up. */
  @Test(dataProvider = "endings")
  public void shouldNotJudgeColdEngineAmongWarmOnes(String name, int millis, Ending ending) {
    Upstream upstream = start(WARM_UP_MILLIS);
    for (int i = 0; i < 3; i++) {
      PaceSample sample = send(upstream);
      advance(millis);
      ending.end(sample, nowNanos);
    }
    assertThat(upstream.pace().pace()).isEqualTo(UpstreamPace.INITIAL_PACE);

    advance(WARM_UP_MILLIS);
    assertThat(paceAfterTwoAnswers(upstream)).isEqualTo(UpstreamPace.INITIAL_PACE + 2);
  }

  @Test(dataProvider = "endings")
  public void shouldNotJudgeRequestThatWasSentWhileCold(String name, int millis, Ending ending) {
    Upstream upstream = start(WARM_UP_MILLIS);
    advance(WARM_UP_MILLIS - 50);
    PaceSample sample = send(upstream);
    advance(millis);
    ending.end(sample, nowNanos);
    assertThat(upstream.pace().evidence().kept() + upstream.pace().evidence().behind()).isZero();
    assertThat(paceAfterTwoAnswers(upstream)).isEqualTo(UpstreamPace.INITIAL_PACE + 2);
  }

  /** Guards against an upstream that breaks again and again and is not given less, as in doubt. */
  @Test
  public void shouldHalveForFailureWhileCold() {
    Upstream upstream = start(WARM_UP_MILLIS);
    PaceSample sample = send(upstream);
    advance(FAST_MILLIS);
    upstream.markBroken(nowNanos);
    sample.onFailure(nowNanos);
    assertThat(upstream.pace().pace()).isEqualTo(UpstreamPace.INITIAL_PACE / 2);
  }

  @Test
  public void shouldNotJudgeZoneThatComesBackWhileItsUpstreamsAreCold() {
    ZoneOrders out = ZoneOrders.none().apply(new ZoneOrder("z1", true));
    router.update(
        "control", FleetUpdate.newBuilder().setZones(ZoneOrdersCodec.encode(out)).build());
    report(1, 10, WARM_UP_MILLIS);
    ZoneOrders back = out.apply(new ZoneOrder("z1", false));
    router.update(
        "control", FleetUpdate.newBuilder().setZones(ZoneOrdersCodec.encode(back)).build());
    Upstream upstream = find(1);
    answer(upstream, SLOW_MILLIS);
    answer(upstream, SLOW_MILLIS);
    advance(WARM_UP_MILLIS);
    answer(upstream, SLOW_MILLIS);
    assertThat(upstream.pace().pace()).as("in doubt").isEqualTo(UpstreamPace.INITIAL_PACE);

    reportWarmTwice(1, 10);
    assertThat(paceAfterTwoAnswers(upstream)).isEqualTo(UpstreamPace.INITIAL_PACE + 2);
  }

  /** Guards against a doubt that ends a pace, or lets slow answers halve it. */
  @Test
  public void shouldHoldPaceDuringDoubt() {
    Upstream upstream = start(0);
    double before = paceAfterTwoAnswers(upstream);
    upstream.warmUp().doubt(nowNanos);
    answer(upstream, FAST_MILLIS);
    answer(upstream, SLOW_MILLIS);
    answer(upstream, SLOW_MILLIS);
    assertThat(upstream.pace().isActive()).isTrue();
    assertThat(upstream.pace().pace()).isEqualTo(before);

    reportWarmTwice(0, 20);
    assertThat(paceAfterTwoAnswers(upstream)).isEqualTo(before + 2);
  }

  /** Guards against routers whose paces differ for good once one of them has been in doubt. */
  @Test
  public void shouldCountWhatOthersSawDuringDoubtAfterItsEnd() {
    Upstream upstream = start(0);
    double before = upstream.pace().pace();
    upstream.warmUp().doubt(nowNanos);
    mergeOthers(2);
    assertThat(upstream.pace().pace()).isEqualTo(before);

    reportWarmTwice(0, 20);
    mergeOthers(2);
    assertThat(upstream.pace().pace()).isEqualTo(before + 2);
  }

  private void mergeOthers(int kept) {
    PaceEvidence evidence =
        PaceEvidence.newBuilder().setStartedAtMillis(20).setKeptPace(kept).build();
    router.updateRemoteWork(
        List.of(UpstreamWork.newBuilder().setUpstream("u0").setPace(evidence).build()));
  }

  @Test
  public void shouldHoldPaceOfUpstreamThatTurnsColdAgain() {
    Upstream upstream = start(0);
    double before = paceAfterTwoAnswers(upstream);
    PaceSample sentWarm = send(upstream);
    advance(1);
    report(0, 20, WARM_UP_MILLIS);
    advance(SLOW_MILLIS);
    sentWarm.onData(0, nowNanos);
    answer(upstream, SLOW_MILLIS);
    advance(WARM_UP_MILLIS);
    assertThat(upstream.pace().pace()).isEqualTo(before);
    assertThat(paceAfterTwoAnswers(upstream)).isEqualTo(before + 2);
  }
}
