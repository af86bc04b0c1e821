package org.toucansaddle.coordination.pacing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.pacing.PacedFleet.Answer;
import org.toucansaddle.coordination.pacing.PacedFleet.Engine;
import org.toucansaddle.coordination.pacing.PacedFleet.Faults;
import org.toucansaddle.coordination.pacing.PacedFleet.Sample;

/** Tests a pace that is held while its upstream is cold. */
public class UpstreamPaceHoldTest {

  private static final int SLOTS = 24;
  private static final int ROUTERS = 60;
  private static final int WARM_UP_MILLIS = 5_000;
  private static final double BEGINNING = 6;

  private long nowNanos;
  private UpstreamPace pace;

  @BeforeMethod
  public void beginPace() {
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    pace = UpstreamPace.established(7, (change, p, now) -> {}, nowNanos);
    pace.begin(SLOTS, nowNanos);
  }

  private void advance(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void holdFor(long millis) {
    pace.recordCold(true, nowNanos);
    advance(millis);
    pace.recordCold(true, nowNanos);
    advance(1);
    pace.recordCold(false, nowNanos);
  }

  private void keep(int requests) {
    for (int i = 0; i < requests; i++) {
      pace.recordKept(SLOTS, ROUTERS, nowNanos);
    }
  }

  /** Guards against a warm-up that counts as rounds without a halving, and ends the pace early. */
  @Test
  public void shouldNotCountTheWarmUpAsRoundsWithoutHalving() {
    holdFor(WARM_UP_MILLIS);
    keep(100);
    assertThat(pace.pace()).isEqualTo(2 * BEGINNING);
    advance(1_000);
    keep(100);
    assertThat(pace.isActive()).isTrue();
    assertThat(pace.pace()).isEqualTo(0.75 * SLOTS);
    for (int i = 0; i < 2; i++) {
      advance(1_000);
      keep(100);
    }
    assertThat(pace.isActive()).isFalse();
  }

  /** Guards against an answer judged just before another thread sees the upstream cold. */
  @Test
  public void shouldNeitherRaiseNorEndPaceWhileCold() {
    advance(60_000);
    pace.recordCold(true, nowNanos);
    double before = pace.pace();
    keep(100);
    assertThat(pace.pace()).isEqualTo(before);
    assertThat(pace.isActive()).isTrue();
  }

  @DataProvider
  public Object[][] times() {
    return new Object[][] {
      // time of sending after the upstream was last seen cold, whether its answer counts
      {-1, false}, {0, false}, {1, true},
    };
  }

  @Test(dataProvider = "times")
  public void shouldJudgeOnlyRequestsSentWhileWarm(long millis, boolean isEvidence) {
    pace.recordCold(true, nowNanos);
    long sentAt = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    advance(10);
    assertThat(pace.isEvidence(sentAt)).isFalse();
    pace.recordCold(false, nowNanos);
    assertThat(pace.isEvidence(sentAt)).isEqualTo(isEvidence);
  }

  /** Guards against routers that each take a whole pace as a long warm-up ends. */
  @Test
  public void shouldShareTheBeginningOfAPaceAfterALongWarmUp() {
    holdFor(WARM_UP_MILLIS);
    int admitted = 0;
    for (int i = 0; i < 3; i++) {
      admitted += pace.admits(new UpstreamPace.Load(1, 1, ROUTERS), true, nowNanos) ? 1 : 0;
      advance(UpstreamPace.STEP_NANOS / 1_000_000);
    }
    assertThat(admitted).as("beside one request, at a tenth of a request a router").isZero();
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      {"one router", 1, Faults.NONE},
      {"60 routers", ROUTERS, Faults.NONE},
      {"60 routers, evidence late", ROUTERS, new Faults(0, 0, 300, "")},
    };
  }

  /** Guards against a new engine that is halved for its warm-up and left idle when it is warm. */
  @Test(dataProvider = "fleets")
  public void shouldUseColdEngineAmongWarmOnesSoonAfterItsWarmUp(
      String name, int routers, Faults faults) {
    Engine engine =
        (underWay, millis, random) ->
            millis < WARM_UP_MILLIS ? new Answer(900, 1_200, false) : new Answer(150, 450, false);
    for (long seed = 1; seed <= 5; seed++) {
      PacedFleet fleet = new PacedFleet(routers, engine, faults, seed);
      fleet.coldUntil(WARM_UP_MILLIS, 300);
      fleet.runUntil(WARM_UP_MILLIS);
      double pace = fleet.runUntil(WARM_UP_MILLIS + 10).get(0).pace();
      fleet.runUntil(WARM_UP_MILLIS + 3_000);
      List<Sample> samples = fleet.runUntil(WARM_UP_MILLIS + 5_000);

      assertThat(pace).as("pace when it is warm, seed %d", seed).isEqualTo(BEGINNING);
      assertThat(samples.stream().mapToInt(Sample::underWay).average().orElseThrow())
          .as("mean under way from 3 to 5 s after the warm-up, seed %d", seed)
          .isGreaterThan(SLOTS / 2.0);
    }
  }

  /** Guards against a flood of the upstream at the end of its warm-up. */
  @Test
  public void shouldNotFloodEngineAtTheEndOfItsWarmUp() {
    for (long seed = 1; seed <= 5; seed++) {
      Engine engine = (underWay, millis, random) -> new Answer(150, 450, false);
      PacedFleet fleet = new PacedFleet(ROUTERS, engine, Faults.NONE, seed);
      fleet.coldUntil(WARM_UP_MILLIS, 300);
      fleet.runUntil(WARM_UP_MILLIS);
      List<Sample> samples = fleet.runUntil(WARM_UP_MILLIS + 1_000);
      assertThat(samples.stream().mapToInt(Sample::underWay).max().orElseThrow())
          .as("most under way in the first second, seed %d", seed)
          .isLessThanOrEqualTo(SLOTS);
    }
  }
}
