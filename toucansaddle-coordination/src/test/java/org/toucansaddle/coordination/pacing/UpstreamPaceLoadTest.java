package org.toucansaddle.coordination.pacing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.assertj.core.data.Offset;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.pacing.UpstreamPace.Load;

/** Tests which part of a pace a router has. */
public class UpstreamPaceLoadTest {

  private static final int ROUTERS = 60;

  private static double part(int serviceOwn, int serviceAll) {
    return 1 / Load.byTraffic(0, 0, serviceOwn, serviceAll, ROUTERS).routers();
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      // routers with callers, requests of each at the service
      {ROUTERS, 1}, {ROUTERS, 20}, {20, 1}, {20, 5}, {9, 30},
    };
  }

  /** Guards against routers whose parts exceed the pace together. */
  @Test(dataProvider = "fleets")
  public void shouldDivideThePaceAmongAllRouters(int senders, int requests) {
    int[] own = new int[ROUTERS];
    Arrays.fill(own, 0, senders, requests);
    int all = senders * requests;
    double sum = Arrays.stream(own).mapToDouble(count -> part(count, all)).sum();
    assertThat(sum).isCloseTo(1, Offset.offset(0.001));
    assertThat(part(requests, all)).isGreaterThanOrEqualTo(part(0, all));
  }

  @DataProvider
  public Object[][] unknown() {
    return new Object[][] {{0, 0}, {10, 10}, {10, 4}};
  }

  /** Guards against a router that takes the whole pace once the place that sums has died. */
  @Test(dataProvider = "unknown")
  public void shouldTakeAnEqualPartIfNothingIsKnownOfOthers(int serviceOwn, int serviceAll) {
    assertThat(part(serviceOwn, serviceAll)).isEqualTo(1.0 / ROUTERS);
  }

  @DataProvider
  public Object[][] onlySenders() {
    return new Object[][] {
      // requests of this router, its part of the pace
      {1, 1.25 / 16}, {4, 8.0 / ROUTERS}, {30, 8.0 / ROUTERS},
    };
  }

  /** Guards against an idle upstream, as routers without callers keep most of its pace. */
  @Test(dataProvider = "onlySenders")
  public void shouldTakeMoreThanAnEqualPartIfOthersHaveNone(int requests, double expected) {
    double part = 1 / Load.ofOnlySender(0, 0, requests, ROUTERS).routers();
    assertThat(part).isCloseTo(expected, Offset.offset(0.001));
  }

  @Test
  public void shouldNeverTakeMoreThanEightEqualParts() {
    assertThat(part(1_000, 1_001)).isCloseTo(8.0 / ROUTERS, Offset.offset(0.001));
  }
}
