package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.origin.OriginTable;
import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;
import org.toucansaddle.protocol.generated.UpstreamWork;

/** Tests of the updates with sums that a control daemon sends between its heartbeats. */
public class SumUpdatesTest {

  private static final int ROUTERS = 20;

  private FollowServer server;
  private List<FleetUpdate> updates;
  private long now;

  @BeforeMethod
  public void startServer() {
    now = TimeUnit.SECONDS.toNanos(1);
    server =
        new FollowServer(
            new FollowSources(FleetState::none, "", List::of, service -> 0),
            new UpstreamRegistry(() -> now),
            new RequestQuarantine(() -> now),
            new OriginTable(() -> now),
            () -> now,
            "z1");
    updates = new ArrayList<>();
  }

  private void passMillis(int millis) {
    now += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private StreamObserver<FollowerReport> follow(
      String router, boolean wantsSums, List<FleetUpdate> received) {
    StreamObserver<FollowerReport> reports = server.follow(new UpdateObserver(received::add));
    report(reports, router, wantsSums, true);
    received.clear();
    return reports;
  }

  private static void report(
      StreamObserver<FollowerReport> reports, String router, boolean wantsSums, boolean first) {
    FollowerReport.Builder report =
        FollowerReport.newBuilder().setRouter(router).setFirst(first).setWantsSums(wantsSums);
    if (wantsSums) {
      report.addWork(UpstreamWork.newBuilder().setUpstream("u").setRequests(3));
    }
    reports.onNext(report.build());
  }

  /** Connects routers that follow another daemon for sums; the first one gets the updates. */
  private List<StreamObserver<FollowerReport>> followAnotherDaemonForSums() {
    List<StreamObserver<FollowerReport>> routers = new ArrayList<>();
    for (int router = 0; router < ROUTERS; router++) {
      routers.add(follow("r" + router, false, router == 0 ? updates : new ArrayList<>()));
    }
    return routers;
  }

  private static void switchOver(
      List<StreamObserver<FollowerReport>> routers, int from, int to, boolean wantsSums) {
    for (int router = from; router < to; router++) {
      report(routers.get(router), "r" + router, wantsSums, false);
    }
  }

  private List<FleetUpdate> sums() {
    return updates.stream().filter(FleetUpdate::getSums).toList();
  }

  /** Guards against counts that wait for the next heartbeat. */
  @Test
  public void shouldSendSumsOfTheOthersBetweenHeartbeats() {
    follow("r1", true, updates);
    follow("r2", true, new ArrayList<>());
    server.sendSums();
    assertThat(updates).singleElement().matches(FleetUpdate::getSums);
    assertThat(updates.get(0).getWork(0).getRequests()).isEqualTo(3);
  }

  @Test
  public void shouldSendNoSumsToRoutersThatFollowAnotherDaemonForThem() {
    follow("r1", false, updates);
    server.sendSums();
    assertThat(updates).isEmpty();
  }

  /** Guards against sums of some routers, which are taken for those of the whole fleet. */
  @Test
  public void shouldSendNoSumsBeforeNearlyAllRoutersHaveReported() {
    List<StreamObserver<FollowerReport>> routers = followAnotherDaemonForSums();
    switchOver(routers, 0, ROUTERS / 2, true);
    server.sendHeartbeats();
    server.sendSums();
    assertThat(updates).isNotEmpty();
    assertThat(sums()).isEmpty();
    switchOver(routers, ROUTERS / 2, ROUTERS, true);
    passMillis(100);
    server.sendHeartbeats();
    assertThat(sums())
        .singleElement()
        .extracting(update -> update.getWork(0).getRequests())
        .isEqualTo(3 * (ROUTERS - 1));
  }

  /** Guards against a previous daemon that sums the routers which have not left it yet. */
  @Test
  public void shouldSendNoSumsWhileRoutersLeaveForAnotherDaemon() {
    List<StreamObserver<FollowerReport>> routers = followAnotherDaemonForSums();
    switchOver(routers, 0, ROUTERS, true);
    server.sendHeartbeats();
    assertThat(sums()).hasSize(1);
    switchOver(routers, ROUTERS / 2, ROUTERS, false);
    passMillis(400);
    server.sendHeartbeats();
    assertThat(sums()).hasSize(1);
  }

  /** Guards against routers without any sums while the others stay with another daemon. */
  @Test
  public void shouldSendSumsOfFewRoutersOnceTheOthersHaveHadTimeToReport() {
    List<StreamObserver<FollowerReport>> routers = followAnotherDaemonForSums();
    switchOver(routers, 0, 3, true);
    for (int millis = 0; millis < 2_000; millis += 400) {
      server.sendHeartbeats();
      passMillis(400);
      switchOver(routers, 0, 3, true);
      switchOver(routers, 3, ROUTERS, false);
    }
    assertThat(sums()).isNotEmpty();
  }

  @Test
  public void shouldSendSumsWhileOneRouterOfManyHasJustConnected() {
    switchOver(followAnotherDaemonForSums(), 0, ROUTERS, true);
    follow("late", false, new ArrayList<>());
    server.sendHeartbeats();
    assertThat(sums()).hasSize(1);
  }
}
