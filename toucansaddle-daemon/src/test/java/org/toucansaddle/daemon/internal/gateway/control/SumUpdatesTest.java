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

  private FollowServer server;
  private List<FleetUpdate> updates;

  @BeforeMethod
  public void startServer() {
    server =
        new FollowServer(
            new FollowSources(FleetState::none, "", List::of, service -> 0),
            new UpstreamRegistry(SumUpdatesTest::nowNanos),
            new RequestQuarantine(SumUpdatesTest::nowNanos),
            new OriginTable(SumUpdatesTest::nowNanos),
            SumUpdatesTest::nowNanos,
            "z1");
    updates = new ArrayList<>();
  }

  private static long nowNanos() {
    return TimeUnit.SECONDS.toNanos(1);
  }

  private void follow(String router, boolean wantsSums, List<FleetUpdate> received) {
    StreamObserver<FollowerReport> reports = server.follow(new UpdateObserver(received::add));
    reports.onNext(
        FollowerReport.newBuilder()
            .setRouter(router)
            .setFirst(true)
            .setWantsSums(wantsSums)
            .addWork(UpstreamWork.newBuilder().setUpstream("u").setRequests(3))
            .build());
    received.clear();
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
}
