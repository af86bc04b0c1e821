package org.toucansaddle.coordination.pacing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when an upstream counts as cold. */
public class WarmUpStateTest {

  private static final long WARM_UP_MILLIS = 3_000;

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @DataProvider
  public Object[][] warmUps() {
    return new Object[][] {{1L}, {WARM_UP_MILLIS}, {20_000L}};
  }

  // A time that is the same for all services would end the warm-up of a slower one too early.
  @Test(dataProvider = "warmUps")
  public void shouldBeColdForTimeOfServiceWithoutReport(long warmUpMillis) {
    WarmUpState state = WarmUpState.unreported(nanos(10));
    assertThat(state.isCold(warmUpMillis, nanos(9 + warmUpMillis))).isTrue();
    assertThat(state.isCold(warmUpMillis, nanos(10 + warmUpMillis))).isFalse();
    assertThat(state.remainingMillis(nanos(10))).isZero();
  }

  @DataProvider
  public Object[][] reports() {
    return new Object[][] {
      // {remaining, reported at, now, cold}
      {0, 100, 100, false},
      {500, 100, 599, true},
      {500, 100, 600, false},
      {60_000, 100, 59_000, true},
    };
  }

  @Test(dataProvider = "reports")
  public void shouldBeColdUntilReportedEnd(
      long remaining, long reportedAt, long now, boolean cold) {
    WarmUpState state = WarmUpState.unreported(0);
    state.report(remaining, nanos(reportedAt));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(now))).isEqualTo(cold);
  }

  // An older report that arrives late must not make a cold upstream warm.
  @Test
  public void shouldIgnoreOlderReport() {
    WarmUpState state = WarmUpState.unreported(0);
    state.report(3_000, nanos(1_000));
    state.report(0, nanos(900));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(1_100))).isTrue();
  }

  @Test
  public void shouldTurnColdAgain() {
    WarmUpState state = WarmUpState.unreported(0);
    state.report(0, nanos(1_000));
    state.report(2_000, nanos(2_000));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(2_500))).isTrue();
    assertThat(state.remainingMillis(nanos(2_500))).isEqualTo(1_500);
  }

  @DataProvider
  public Object[][] reportsAfterDoubt() {
    return new Object[][] {
      // {reported at, still cold}; the doubt is at 1,000 and reports may seem 200 ms too late
      {900, true}, {1_000, true}, {1_200, true}, {1_201, false}, {5_000, false},
    };
  }

  // A report that was on its way when the upstream failed must not end the doubt.
  @Test(dataProvider = "reportsAfterDoubt")
  public void shouldCountAsColdUntilReportAfterDoubt(long reportedAt, boolean cold) {
    WarmUpState state = WarmUpState.unreported(0);
    state.report(0, nanos(500));
    state.doubt(nanos(1_000));
    state.report(0, nanos(reportedAt));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(10_000))).isEqualTo(cold);
  }

  @Test
  public void shouldStayColdAfterDoubtWhileReportSaysSo() {
    WarmUpState state = WarmUpState.unreported(0);
    state.doubt(nanos(1_000));
    state.report(2_000, nanos(2_000));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(3_999))).isTrue();
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(4_000))).isFalse();
  }

  // An upstream that never reports a warm-up got nothing any more after one failed connection.
  @Test
  public void shouldEndDoubtOfUpstreamThatReportsNoWarmUp() {
    WarmUpState state = WarmUpState.unreported(0);
    state.doubt(nanos(10_000));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(12_999))).isTrue();
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(13_000))).isFalse();
  }

  @Test
  public void shouldKeepDoubtWhenFirstReportIsOlder() {
    WarmUpState state = WarmUpState.unreported(0);
    state.doubt(nanos(10_000));
    state.report(0, nanos(9_900));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(20_000))).isTrue();
  }
}
