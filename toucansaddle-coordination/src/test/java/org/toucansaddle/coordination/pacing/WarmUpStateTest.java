package org.toucansaddle.coordination.pacing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.pacing.WarmUpState.Report;

/** Tests when an upstream counts as cold. */
public class WarmUpStateTest {

  private long sequence;

  private static final long WARM_UP_MILLIS = 3_000;

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Report that was received at a time which the router knows. */
  private Report report(long remainingMillis, long receivedAtMillis) {
    sequence++;
    return new Report(sequence, remainingMillis, nanos(receivedAtMillis), nanos(receivedAtMillis));
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
    state.report(report(remaining, reportedAt));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(now))).isEqualTo(cold);
  }

  // An older report that arrives late must not make a cold upstream warm.
  @Test
  public void shouldIgnoreOlderReport() {
    WarmUpState state = WarmUpState.unreported(0);
    Report older = report(0, 1_050);
    state.report(report(3_000, 1_000));
    state.report(older);
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(1_100))).isTrue();
  }

  // A newer report was dropped when it took less time than the one before it.
  @Test
  public void shouldTakeNewerReportThatOvertookOlderOne() {
    WarmUpState state = WarmUpState.unreported(0);
    state.report(report(0, 1_000));
    state.report(report(3_000, 900));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(1_100))).isTrue();
  }

  @Test
  public void shouldTurnColdAgain() {
    WarmUpState state = WarmUpState.unreported(0);
    state.report(report(0, 1_000));
    state.report(report(2_000, 2_000));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(2_500))).isTrue();
    assertThat(state.remainingMillis(nanos(2_500))).isEqualTo(1_500);
  }

  @DataProvider
  public Object[][] reportsAfterDoubt() {
    return new Object[][] {
      // {received not before, next received not before, still cold}; the doubt is at 1,000
      {900, 950, true},
      {900, 1_001, true},
      {1_000, 1_001, true},
      {1_001, 1_002, false},
      {1_201, 2_400, false},
    };
  }

  // A report that was on its way when the upstream failed must not end the doubt.
  @Test(dataProvider = "reportsAfterDoubt")
  public void shouldCountAsColdUntilSecondReportAfterDoubt(long first, long second, boolean cold) {
    WarmUpState state = WarmUpState.unreported(0);
    state.report(report(0, 500));
    state.doubt(nanos(1_000));
    state.report(new Report(++sequence, 0, nanos(5_000), nanos(first)));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(10_000))).isTrue();
    state.report(new Report(++sequence, 0, nanos(5_001), nanos(second)));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(10_000))).isEqualTo(cold);
  }

  // The same report, received from two control daemons, is no second one.
  @Test
  public void shouldNotCountRepeatedReportTwice() {
    WarmUpState state = WarmUpState.unreported(0);
    state.doubt(nanos(1_000));
    Report repeated = report(0, 2_000);
    state.report(repeated);
    state.report(repeated);
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(10_000))).isTrue();
  }

  // A doubt that comes again must not be ended by a report of before.
  @Test
  public void shouldAwaitTwoReportsAfterEachDoubt() {
    WarmUpState state = WarmUpState.unreported(0);
    state.doubt(nanos(1_000));
    state.report(report(0, 2_000));
    state.doubt(nanos(3_000));
    state.report(report(0, 4_000));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(10_000))).isTrue();
    state.report(report(0, 5_000));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(10_000))).isFalse();
  }

  @Test
  public void shouldStayColdAfterDoubtWhileReportSaysSo() {
    WarmUpState state = WarmUpState.unreported(0);
    state.doubt(nanos(1_000));
    state.report(report(2_400, 1_600));
    state.report(report(2_000, 2_000));
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
    state.report(report(0, 9_900));
    assertThat(state.isCold(WARM_UP_MILLIS, nanos(20_000))).isTrue();
  }
}
