package org.toucansaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Route}. */
public class RouteTest {

  @DataProvider
  public Object[][] stallTimeouts() {
    return new Object[][] {
      // target, gap target and stall timeout in milliseconds
      {400, 200, 2_000},
      {1_000, 400, 4_000},
      {1_000, 600, 4_800},
      {Integer.MAX_VALUE, 0, Integer.MAX_VALUE},
    };
  }

  @Test(dataProvider = "stallTimeouts")
  public void shouldDeriveTheCallerStallTimeoutFromTheTargets(
      int target, int gapTarget, int expected) {
    List<WeightedService> services = List.of(new WeightedService("s", 1));
    Route route =
        new Route(
            "r",
            "h",
            "/",
            Repetition.STREAM,
            9_000,
            target,
            gapTarget,
            0,
            services,
            1,
            false,
            false);
    assertThat(route.callerStallTimeoutMillis()).isEqualTo(expected);
  }
}
