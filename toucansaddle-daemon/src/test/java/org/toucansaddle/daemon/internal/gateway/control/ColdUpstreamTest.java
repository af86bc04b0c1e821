package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.toucansaddle.daemon.internal.gateway.control.ZoneOrdersCodec.encode;

import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.ServiceDefinition.WarmUp;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.origin.OriginTable;
import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;

/** Tests that cold upstreams get only permitted requests, from their heartbeat to the router. */
public class ColdUpstreamTest {

  private static final double REQUESTS_PER_SECOND = 4;

  private long nowNanos;
  private UpstreamRegistry registry;
  private FollowServer server;
  private RouterState router;
  private FleetState fleetState;
  private StreamObserver<FollowerReport> reports;
  private final List<FleetUpdate> updates = new ArrayList<>();

  /** Updates that the router has not received yet; null if all reach it at once. */
  private List<FleetUpdate> inTransit;

  private void start(Optional<WarmUp> warmUp) {
    nowNanos = 1_000;
    updates.clear();
    inTransit = null;
    registry = new UpstreamRegistry(() -> nowNanos);
    server =
        new FollowServer(
            new FollowSources(() -> fleetState, "", List::of, service -> rate(warmUp)),
            registry,
            new RequestQuarantine(() -> nowNanos),
            new OriginTable(() -> nowNanos),
            () -> nowNanos,
            "z1");
    router = new RouterState(content -> document(warmUp), 6_000, () -> nowNanos);
    fleetState = FleetState.none().withDocument(new StoredDocument(1, new byte[] {1}));
    router.applyConfirmed(fleetState);
    reports =
        server.follow(
            new UpdateObserver(
                update -> {
                  updates.add(update);
                  if (inTransit == null) {
                    router.update("control", update);
                  } else {
                    inTransit.add(update);
                  }
                }));
    reports.onNext(router.createReport().setFirst(true).setRouter("r").build());
    advance(2_000);
  }

  private static double rate(Optional<WarmUp> warmUp) {
    return warmUp.map(WarmUp::requestsPerSecond).orElse(0.0);
  }

  @BeforeMethod
  public void startWithWarmUp() {
    start(Optional.of(new WarmUp(3_000, REQUESTS_PER_SECOND)));
  }

  private static FleetDocument document(Optional<WarmUp> warmUp) {
    ServiceDefinition desk = new ServiceDefinition("desk", "", 100, Optional.empty(), warmUp);
    return new FleetDocument(
        1, List.of(), List.of(desk), Optional.empty(), CallerLimits.defaults());
  }

  private void advance(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static UpstreamReport report(long startedAtMillis, long sequence) {
    return new UpstreamReport(
        "u", "desk", "10.0.0.1:1", "z1", 6, State.READY, startedAtMillis, sequence);
  }

  private Upstream heartbeat(UpstreamReport report) {
    registry.update(report);
    server.pushChanges();
    return router.upstreams().ready("desk").get(0);
  }

  /** Returns how many requests the router sends in a time in which it wants to send many. */
  private int sendFor(Upstream upstream, int millis) {
    int sent = 0;
    for (int i = 0; i < millis; i++) {
      advance(1);
      if (router.coldStart().mayGetRequest(upstream) && router.coldStart().beginRequest(upstream)) {
        sent++;
      }
      if (i % 100 == 99) {
        reports.onNext(router.createReport().build());
      }
    }
    return sent;
  }

  @Test
  public void shouldSendOnlyPermittedRequestsToColdUpstream() {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(30_000));
    assertThat(sendFor(upstream, 10_000)).isBetween(10, (int) (10 * REQUESTS_PER_SECOND / 2) + 1);
    assertThat(router.coldUpstreams()).isEqualTo(1);
    assertThat(router.coldStart().usedPermits()).isPositive();
  }

  @Test
  public void shouldSendFreelyOnceUpstreamIsWarm() {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(1_000));
    advance(1_000);
    assertThat(sendFor(upstream, 100)).isEqualTo(100);
  }

  @DataProvider
  public Object[][] warmUpMillis() {
    return new Object[][] {{500}, {8_000}};
  }

  // The warm-up that the configuration names had no effect: each took the same time.
  @Test(dataProvider = "warmUpMillis")
  public void shouldSpareUpstreamWithoutReportForWarmUpOfItsService(int millis) {
    start(Optional.of(new WarmUp(millis, REQUESTS_PER_SECOND)));
    Upstream upstream = heartbeat(report(10, 1));
    advance(millis - 1);
    assertThat(router.coldStart().isCold(upstream)).isTrue();
    advance(1);
    assertThat(router.coldStart().isCold(upstream)).isFalse();
  }

  // A service without a warm-up must not change when its upstreams fail or report none.
  @Test
  public void shouldNotSpareUpstreamsOfServiceThatIsNeverCold() {
    start(Optional.empty());
    Upstream upstream = heartbeat(report(10, 1));
    upstream.markUnreachable(nowNanos);
    assertThat(sendFor(upstream, 100)).isEqualTo(100);
    assertThat(router.coldUpstreams()).isZero();
  }

  @DataProvider
  public Object[][] failures() {
    return new Object[][] {{true}, {false}};
  }

  // An upstream that fell silent and comes back under its id may be cold before it says so.
  @Test(dataProvider = "failures")
  public void shouldSpareUpstreamAfterFailureUntilItReportsThatItIsWarm(boolean reached) {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(0));
    assertThat(router.coldStart().isCold(upstream)).isFalse();
    if (reached) {
      upstream.markBroken(nowNanos);
    } else {
      upstream.markUnreachable(nowNanos);
    }
    assertThat(router.coldStart().isCold(upstream)).isTrue();
    advance(1_000);
    reports.onNext(router.createReport().build());
    heartbeat(report(10, 2).withWarmUpMillis(0));
    assertThat(router.coldStart().isCold(upstream)).isTrue();
    heartbeat(report(10, 3).withWarmUpMillis(0));
    assertThat(router.coldStart().isCold(upstream)).isFalse();
  }

  @DataProvider
  public Object[][] delaysOfUpdate() {
    return new Object[][] {{0}, {201}, {1_400}};
  }

  // A report that an update brought late ended a doubt although it was sent before it.
  @Test(dataProvider = "delaysOfUpdate")
  public void shouldKeepDoubtWhenUpdatesWithEarlierReportsComeLate(int delayMillis) {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(0));
    advance(1_200);
    reports.onNext(router.createReport().build());
    inTransit = new ArrayList<>();
    heartbeat(report(10, 2).withWarmUpMillis(0));
    heartbeat(report(10, 3).withWarmUpMillis(0));
    upstream.markBroken(nowNanos);
    advance(delayMillis);
    inTransit.forEach(update -> router.update("control", update));
    assertThat(router.coldStart().isCold(upstream)).isTrue();
  }

  // A warm upstream was spared for good while a daemon that knows no warm-ups forwarded its
  // reports.
  @Test
  public void shouldNotSpareUpstreamWhoseLaterReportsTellNoWarmUp() {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(0));
    advance(4_000);
    heartbeat(report(10, 2));
    assertThat(router.coldStart().isCold(upstream)).isFalse();
  }

  @DataProvider
  public Object[][] silences() {
    return new Object[][] {
      // {silence, whether the router still follows a control daemon, possibly cold}
      {1_200, true, false}, {3_999, true, false}, {4_000, true, true}, {4_000, false, false},
    };
  }

  // An upstream that is silent got all requests although it could not say that it turned cold.
  @Test(dataProvider = "silences")
  public void shouldSpareUpstreamThatIsSilentWhileControlDaemonIsNot(
      int millis, boolean follows, boolean cold) {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(0));
    advance(millis);
    if (follows) {
      router.update("control", FleetUpdate.getDefaultInstance());
    }
    assertThat(router.coldStart().isCold(upstream)).isEqualTo(cold);
    heartbeat(report(10, 2).withWarmUpMillis(0));
    assertThat(router.coldStart().isCold(upstream)).isFalse();
  }

  @Test
  public void shouldSpareUpstreamThatReportsNoWarmUpAtFirst() {
    Upstream upstream = heartbeat(report(10, 1));
    assertThat(router.coldStart().isCold(upstream)).isTrue();
    advance(3_000);
    assertThat(router.coldStart().isCold(upstream)).isFalse();
  }

  // Requests that connected at the same time all waited for one permit.
  @Test
  public void shouldLetOneRequestWaitForConnectionForEachPermit() {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(30_000));
    assertThat(router.coldStart().mayGetRequest(upstream)).isFalse();
    reports.onNext(router.createReport().build());
    assertThat(router.coldStart().mayGetRequest(upstream)).isTrue();
    OptionalLong reservedUntil = router.coldStart().reserve(upstream);
    assertThat(router.coldStart().mayGetRequest(upstream)).isFalse();
    advance(799);
    assertThat(router.beginRequest(upstream, reservedUntil)).isTrue();
    advance(1);
    assertThat(router.beginRequest(upstream, reservedUntil)).isFalse();
  }

  // A request that was connecting while its zone was taken out of service was still sent.
  @Test
  public void shouldNotBeginRequestInZoneOutOfService() {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(0));
    assertThat(router.beginRequest(upstream, OptionalLong.empty())).isTrue();
    order(new ZoneOrder("z1", true));
    assertThat(router.beginRequest(upstream, OptionalLong.empty())).isFalse();
  }

  // A warm-up that begins must not wait for the next heartbeat of the control daemon.
  @Test
  public void shouldPassOnAtOnceThatUpstreamTurnsCold() {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(0));
    advance(1_200);
    assertThat(registry.update(report(10, 2).withWarmUpMillis(2_500))).isTrue();
    server.pushChanges();
    assertThat(router.coldStart().isCold(upstream)).isTrue();
    advance(1_200);
    assertThat(registry.update(report(10, 3).withWarmUpMillis(1_300))).isFalse();
  }

  private void order(ZoneOrder order) {
    fleetState = fleetState.withZones(fleetState.zones().apply(order));
    server.pushChanges();
  }

  @Test
  public void shouldLeaveOutUpstreamsOfZoneOutOfService() {
    heartbeat(report(10, 1).withWarmUpMillis(0));
    order(new ZoneOrder("z2", true));
    assertThat(router.usableUpstreams("desk", true)).hasSize(1);
    order(new ZoneOrder("z1", true));
    assertThat(router.usableUpstreams("desk", true)).isEmpty();
    assertThat(router.createReport().getZonesRevision()).isEqualTo(2);
    order(new ZoneOrder("z1", false));
    assertThat(router.usableUpstreams("desk", true)).hasSize(1);
  }

  // Upstreams of a zone that is taken back may have turned cold while nobody asked them.
  @Test
  public void shouldSpareUpstreamsOfZoneThatComesBackUntilTheyReport() {
    Upstream upstream = heartbeat(report(10, 1).withWarmUpMillis(0));
    order(new ZoneOrder("z1", true));
    advance(5_000);
    heartbeat(report(10, 2).withWarmUpMillis(0));
    order(new ZoneOrder("z1", false));
    assertThat(router.coldStart().isCold(upstream)).isTrue();
    advance(1_200);
    reports.onNext(router.createReport().build());
    heartbeat(report(10, 3).withWarmUpMillis(0));
    assertThat(router.coldStart().isCold(upstream)).isTrue();
    heartbeat(report(10, 4).withWarmUpMillis(0));
    assertThat(router.coldStart().isCold(upstream)).isFalse();
  }

  // A control daemon that is behind must not take a zone back into service.
  @Test
  public void shouldNeverReturnToOlderOrders() {
    heartbeat(report(10, 1));
    order(new ZoneOrder("z1", true));
    router.update("late", FleetUpdate.newBuilder().setZones(encode(ZoneOrders.none())).build());
    router.applyConfirmed(fleetState.withZones(ZoneOrders.none()));
    assertThat(router.usableUpstreams("desk", true)).isEmpty();
  }

  @Test
  public void shouldIgnoreLateReportOfEarlierSequenceOrStart() {
    heartbeat(report(10, 5).withWarmUpMillis(30_000));
    advance(100);
    Upstream upstream = heartbeat(report(10, 4).withWarmUpMillis(0));
    assertThat(router.coldStart().isCold(upstream)).isTrue();
    upstream = heartbeat(report(9, 50).withWarmUpMillis(0));
    assertThat(router.coldStart().isCold(upstream)).isTrue();
  }
}
