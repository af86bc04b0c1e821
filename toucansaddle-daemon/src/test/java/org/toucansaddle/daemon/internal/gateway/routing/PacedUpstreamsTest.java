package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.control.ZoneOrdersCodec;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Tests which upstreams a router paces, and what routers tell each other of it. */
public class PacedUpstreamsTest {

  private static final int ROUTERS = 60;
  private static final int UPSTREAMS = 6;

  private long nowNanos;

  @BeforeMethod
  public void resetClock() {
    nowNanos = TimeUnit.SECONDS.toNanos(100);
  }

  private RouterState createRouter(boolean paces) {
    RouterState router = new RouterState(content -> null, 60_000, () -> nowNanos, paces);
    FleetUpdate.Builder first = FleetUpdate.newBuilder().setComplete(true).setRouters(ROUTERS);
    for (int i = 0; i < UPSTREAMS; i++) {
      first.addUpstreams(message(i, 10));
    }
    router.update("control", first.build());
    nowNanos += TimeUnit.SECONDS.toNanos(5);
    return router;
  }

  private static UpstreamMessage message(int index, long startedAtMillis) {
    return UpstreamMessage.newBuilder()
        .setId("u" + index)
        .setService("s")
        .setAddress("10.0.0." + index + ":1")
        .setZone("z" + index % 3)
        .setSlots(12)
        .setState(State.READY.ordinal())
        .setStartedAtMillis(startedAtMillis)
        .setSequence(1)
        .build();
  }

  private static void restart(RouterState router, int index) {
    router.update("control", FleetUpdate.newBuilder().addUpstreams(message(index, 20)).build());
  }

  private static Upstream find(RouterState router, int index) {
    return router.upstreams().ready("s").stream()
        .filter(upstream -> upstream.id().equals("u" + index))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the steps of 100 in which an upstream may get a request. */
  private int countAdmissions(RouterState router, Upstream upstream) {
    int admitted = 0;
    for (int i = 0; i < 100; i++) {
      nowNanos += TimeUnit.SECONDS.toNanos(1);
      admitted += router.paced().mayGetRequest(upstream, true) ? 1 : 0;
    }
    return admitted;
  }

  @Test
  public void shouldPaceOnlyStartsAfterTheFirstCompleteList() {
    RouterState router = createRouter(true);
    assertThat(router.paced().count()).isZero();
    restart(router, 0);
    assertThat(router.paced().count()).isEqualTo(1);
    assertThat(find(router, 0).pace().isActive()).isTrue();
  }

  @Test
  public void shouldPaceNothingIfSwitchedOff() {
    RouterState router = createRouter(false);
    restart(router, 0);
    find(router, 1).markUnreachable(nowNanos);
    find(router, 2).markBroken(nowNanos);
    assertThat(router.paced().count()).isZero();
    assertThat(countAdmissions(router, find(router, 0))).isEqualTo(100);
  }

  @Test
  public void shouldPaceUpstreamsThatFailed() {
    RouterState router = createRouter(true);
    find(router, 1).markUnreachable(nowNanos);
    find(router, 2).markBroken(nowNanos);
    assertThat(router.paced().count()).isEqualTo(2);
  }

  @DataProvider
  public Object[][] restarted() {
    return new Object[][] {{1, true}, {3, true}, {4, false}, {UPSTREAMS, false}};
  }

  /** Guards against a release that replaces all upstreams, or most, and leaves callers nowhere. */
  @Test(dataProvider = "restarted")
  public void shouldRestrictNothingWhileMostAreNew(int count, boolean isRestricted) {
    RouterState router = createRouter(true);
    for (int i = 0; i < count; i++) {
      restart(router, i);
    }
    Upstream upstream = find(router, 0);
    upstream.recordRequestStarted(0, 0);
    for (int i = 0; i < 4; i++) {
      upstream.recordRequestStarted(0, 0);
    }
    assertThat(countAdmissions(router, upstream)).isEqualTo(isRestricted ? 0 : 100);
    assertThat(router.paced().passedOverCount()).isEqualTo(isRestricted ? 100 : 0);
  }

  @Test
  public void shouldPaceAZoneThatComesBack() {
    RouterState router = createRouter(true);
    ZoneOrders out = ZoneOrders.none().apply(new ZoneOrder("z1", true));
    router.update(
        "control", FleetUpdate.newBuilder().setZones(ZoneOrdersCodec.encode(out)).build());
    assertThat(router.paced().count()).isZero();
    ZoneOrders back = out.apply(new ZoneOrder("z1", false));
    router.update(
        "control", FleetUpdate.newBuilder().setZones(ZoneOrdersCodec.encode(back)).build());
    assertThat(router.paced().count()).isEqualTo(2);
  }

  @DataProvider
  public Object[][] starts() {
    return new Object[][] {{20, true}, {21, false}};
  }

  @Test(dataProvider = "starts")
  public void shouldCountEvidenceOfTheSameStartOnly(long otherStart, boolean isCounted) {
    RouterState router = createRouter(true);
    RouterState other = createRouter(true);
    restart(router, 0);
    other.update("control", FleetUpdate.newBuilder().addUpstreams(message(0, otherStart)).build());
    other.paced().recordKept(find(other, 0));
    double before = find(router, 0).pace().pace();
    List<UpstreamWork> works = other.createReport().getWorkList();
    router.updateRemoteWork(works);

    assertThat(works).hasSize(1);
    assertThat(find(router, 0).pace().pace() - before).isEqualTo(isCounted ? 1 : 0);
  }

  @DataProvider
  public Object[][] knowledge() {
    return new Object[][] {
      // what is known of the other routers, steps of 100 ms before, admissions of 100 at least, at
      // most
      {"they have no requests", List.of(), 9, 30, 75},
      {"nothing", null, 9, 0, 20},
      {"they have no requests, but only now", List.of(), 0, 0, 20},
      {"they have many", List.of(work(1, 500)), 9, 0, 20},
    };
  }

  private static UpstreamWork work(int index, int requests) {
    return UpstreamWork.newBuilder().setUpstream("u" + index).setRequests(requests).build();
  }

  /**
   * Guards against a new upstream that only the callers of one router want, and that is left idle.
   */
  @Test(dataProvider = "knowledge")
  public void shouldTakeLargerPartOnlyIfOthersAreKnownToHaveNone(
      String name, List<UpstreamWork> others, int stepsBefore, int atLeast, int atMost) {
    int admitted = 0;
    for (int i = 0; i < 100; i++) {
      RouterState router = createRouter(true);
      restart(router, 0);
      find(router, 1).recordRequestStarted(0, 0);
      find(router, 1).recordRequestStarted(0, 0);
      for (int step = 0; step <= stepsBefore; step++) {
        if (others != null) {
          router.updateRemoteWork(others);
        }
        nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
        boolean isAdmitted = router.paced().isAdmitted(find(router, 0), true);
        admitted += step == stepsBefore && isAdmitted ? 1 : 0;
      }
    }
    assertThat(admitted).isBetween(atLeast, atMost);
  }
}
