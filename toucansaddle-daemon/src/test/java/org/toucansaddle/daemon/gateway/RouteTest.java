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
    Route route = route(Repetition.STREAM, target, gapTarget, false);
    assertThat(route.callerStallTimeoutMillis()).isEqualTo(expected);
  }

  private static Route route(
      Repetition repetition, int targetMillis, int gapTargetMillis, boolean resumable) {
    return new Route(
        "r",
        "h",
        "/",
        repetition,
        9_000,
        targetMillis,
        gapTargetMillis,
        0,
        List.of(new WeightedService("s", 1)),
        1,
        false,
        resumable);
  }

  @DataProvider
  public Object[][] repetitions() {
    return new Object[][] {
      // repetition, marked as resumable, resumable, repeatable
      {Repetition.ONCE, false, false, false},
      {Repetition.ONCE, true, false, false},
      {Repetition.STREAM, false, false, false},
      {Repetition.STREAM, true, true, true},
      {Repetition.REPEATABLE, false, false, true},
      {Repetition.REPEATABLE, true, false, true},
    };
  }

  /** Guards against requests that run twice since a route without streams is marked resumable. */
  @Test(dataProvider = "repetitions")
  public void shouldRepeatOnlyRepeatableRequestsAndResumableStreams(
      Repetition repetition, boolean marked, boolean resumable, boolean repeatable) {
    Route route = route(repetition, 1_000, 0, marked);
    assertThat(route.resumable()).isEqualTo(resumable);
    assertThat(route.isRepeatable()).isEqualTo(repeatable);
  }
}
