package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.origin.OriginTable;
import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.protocol.generated.FollowerReport;

/** Tests that the software versions of upstreams pass from control daemons to routers. */
public class UpstreamVersionTest {

  private static final int REPORT_TIMEOUT_MILLIS = 6_000;

  private long nowNanos = 1_000;
  private UpstreamRegistry registry;
  private FollowServer server;
  private RouterState router;

  @BeforeMethod
  public void connectRouter() {
    registry = new UpstreamRegistry(() -> nowNanos);
    server =
        new FollowServer(
            new FollowSources(FleetState::none, "", List::of, service -> 0),
            registry,
            new RequestQuarantine(() -> nowNanos),
            new OriginTable(() -> nowNanos),
            () -> nowNanos,
            "z1");
    startRouter();
  }

  private void startRouter() {
    router = new RouterState(content -> null, REPORT_TIMEOUT_MILLIS, () -> nowNanos);
    FollowerReport first = FollowerReport.newBuilder().setFirst(true).setRouter("r").build();
    server.follow(new UpdateObserver(update -> router.update("control", update))).onNext(first);
  }

  private static UpstreamReport report(String id, long sequence) {
    return report(id, 10, sequence);
  }

  private static UpstreamReport report(String id, long startedAtMillis, long sequence) {
    String address = "10.0.0.1:" + id;
    return new UpstreamReport(id, "desk", address, "z1", 6, State.READY, startedAtMillis, sequence);
  }

  private void update(UpstreamReport report) {
    registry.update(report);
    server.pushChanges();
  }

  @Test
  public void shouldPassSoftwareVersionsToRouters() {
    update(report("1", 1).withSoftwareVersion("v1"));
    update(report("2", 1).withSoftwareVersion("v1.1"));
    update(report("3", 1));

    assertThat(router.softwareVersions("desk")).isEqualTo(Set.of("v1", "v1.1", ""));
    assertThat(router.softwareVersions("engine")).isEmpty();
  }

  @Test
  public void shouldPassSoftwareVersionToRoutersOnceItIsKnown() {
    update(report("1", 1));
    update(report("1", 2).withSoftwareVersion("v1"));
    update(report("1", 3));

    assertThat(router.softwareVersions("desk")).isEqualTo(Set.of("v1"));
  }

  /** Guards against a router that starts after upstreams changed their version under their ids. */
  @Test
  public void shouldPassReplacedSoftwareVersionsToRoutersThatStartLater() {
    for (String id : List.of("1", "2")) {
      update(report(id, 10, 1).withSoftwareVersion("v1"));
      update(report(id, 20, 1).withSoftwareVersion("v1.1"));
    }
    startRouter();

    assertThat(router.softwareVersions("desk")).isEqualTo(Set.of("v1", "v1.1"));
    assertThat(router.upstreams().ready("desk"))
        .extracting(upstream -> upstream.report().softwareVersion())
        .containsExactlyInAnyOrder("v1.1", "v1.1");
  }

  @Test
  public void shouldForgetReplacedSoftwareVersionsAfterAMinute() {
    update(report("1", 10, 1).withSoftwareVersion("v1"));
    update(report("1", 20, 1).withSoftwareVersion("v1.1"));
    nowNanos += TimeUnit.SECONDS.toNanos(61);
    update(report("1", 20, 2).withSoftwareVersion("v1.1"));
    startRouter();

    assertThat(router.softwareVersions("desk")).isEqualTo(Set.of("v1.1"));
  }
}
