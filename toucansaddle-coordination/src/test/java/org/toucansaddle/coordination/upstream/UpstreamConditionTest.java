package org.toucansaddle.coordination.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.upstream.SpeedEstimate.Sums;
import org.toucansaddle.coordination.upstream.UpstreamCondition.OthersWork;

/** Tests of {@link UpstreamCondition}. */
public class UpstreamConditionTest {

  private static final long SUM_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long NOW = millis(60_000);

  private UpstreamCondition condition;

  @BeforeMethod
  public void createCondition() {
    condition = new UpstreamCondition();
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static ReportedLoad load(int running, int waiting) {
    return new ReportedLoad(running, waiting, 8, OptionalInt.empty());
  }

  private static ReportedLoad work(int percent) {
    return new ReportedLoad(1, 0, 8, OptionalInt.of(percent));
  }

  private static OthersWork others(int requests, long pendingTokens) {
    return new OthersWork(requests, pendingTokens, Sums.NONE);
  }

  private void start(int requests, int promptTokens) {
    for (int i = 0; i < requests; i++) {
      condition.requestStarted(promptTokens);
    }
  }

  @Test
  public void shouldAddTheCountOfTheOthersIfNothingIsReported() {
    start(3, 1_000);
    condition.updateOthers(others(5, 4_000), SUM_AGE_NANOS, NOW);
    assertThat(condition.requests(NOW)).isEqualTo(8);
    assertThat(condition.pendingTokens(NOW)).isEqualTo(7_000);
  }

  @Test
  public void shouldSeeAFloodThatOnlyTheUpstreamTellsOf() {
    start(1, 1_000);
    condition.updateOthers(others(0, 0), SUM_AGE_NANOS, NOW);
    condition.recordLoad(load(8, 24), NOW);
    start(2, 1_000);
    assertThat(condition.requests(NOW)).isEqualTo(34);
    assertThat(condition.pendingTokens(NOW)).isEqualTo(24_000);
  }

  /** Guards against estimates that count prompts of late routers which were read long since. */
  @Test
  public void shouldNotCountWorkOfOthersThatTheUpstreamHasEnded() {
    start(1, 0);
    condition.updateOthers(others(20, 40_000), SUM_AGE_NANOS, NOW);
    condition.recordLoad(load(3, 0), NOW);
    assertThat(condition.requests(NOW)).isEqualTo(3);
    assertThat(condition.pendingTokens(NOW)).isEqualTo(4_000);
  }

  @Test
  public void shouldNotCountFewerThanThisRouterSentItself() {
    start(2, 500);
    condition.recordLoad(load(0, 0), NOW);
    assertThat(condition.requests(NOW)).isEqualTo(2);
    assertThat(condition.pendingTokens(NOW)).isEqualTo(1_000);
  }

  @Test
  public void shouldPreferACountThatIsNewerThanTheWord() {
    condition.recordLoad(load(8, 24), NOW - millis(400));
    condition.updateOthers(others(2, 0), SUM_AGE_NANOS, NOW);
    assertThat(condition.requests(NOW)).isEqualTo(2);
  }

  @Test
  public void shouldKeepTheNewerOfTwoWords() {
    condition.recordLoad(load(2, 0), NOW);
    condition.recordLoadFromOthers(load(8, 9), NOW - millis(100));
    assertThat(condition.requests(NOW)).isEqualTo(2);
    condition.recordLoadFromOthers(load(8, 9), NOW + millis(100));
    assertThat(condition.requests(NOW + millis(100))).isEqualTo(17);
    assertThat(condition.loadReport(NOW + millis(100)).orElseThrow().fromResponse()).isFalse();
  }

  @Test
  public void shouldForgetStaleWordsAndCounts() {
    start(1, 0);
    condition.updateOthers(others(5, 100), SUM_AGE_NANOS, NOW);
    condition.recordLoad(load(8, 24), NOW);
    assertThat(condition.loadReport(NOW + millis(2_100))).isEmpty();
    assertThat(condition.requests(NOW + millis(2_100))).isEqualTo(6);
    assertThat(condition.requests(NOW + millis(4_100))).isEqualTo(1);
    assertThat(condition.pendingTokens(NOW + millis(4_100))).isZero();
  }

  @DataProvider
  public Object[][] speeds() {
    return new Object[][] {{0.5}, {0.83}, {1.0}, {2.0}, {4.0}};
  }

  @Test(dataProvider = "speeds")
  public void shouldLearnTheSpeedFromTimesOfAllRouters(double multiple) {
    condition.updateOthers(
        new OthersWork(0, 0, new Sums(multiple * 3_000, 3_000)), SUM_AGE_NANOS, NOW);
    for (int i = 0; i < 30; i++) {
      condition.recordTime(multiple * 100, 100, NOW);
    }
    assertThat(condition.multiple(1, NOW)).isCloseTo(multiple, within(0.2));
  }

  @Test
  public void shouldFollowAnUpstreamThatIsSlowForSeconds() {
    recordTimes(0, 100);
    assertThat(condition.multiple(1, NOW + millis(4_000))).isCloseTo(1, within(0.01));
    recordTimes(4_000, 300);
    assertThat(condition.multiple(1, NOW + millis(8_000))).isGreaterThan(1.8);
    recordTimes(8_000, 100);
    assertThat(condition.multiple(1, NOW + millis(19_000))).isLessThan(1.4);
  }

  private void recordTimes(int fromMillis, int observedMillis) {
    for (int at = 0; at < 4_000; at += 100) {
      condition.recordTime(observedMillis, 100, NOW + millis(fromMillis + at));
    }
  }

  @Test
  public void shouldUseTheReportedTimeOfWorkOnlyWhileItIsFresh() {
    condition.recordLoad(work(250), NOW);
    assertThat(condition.multiple(1.2, NOW)).isCloseTo(3, within(0.01));
    assertThat(condition.multiple(1.2, NOW + millis(500))).isCloseTo(1.2, within(0.01));
  }

  @DataProvider
  public Object[][] percents() {
    return new Object[][] {{10}, {100}, {2_000}};
  }

  /** Guards against one false figure that starves an upstream or floods it. */
  @Test(dataProvider = "percents")
  public void shouldLimitTheEffectOfTheReportedTimeOfWork(int percent) {
    condition.recordLoad(work(percent), NOW);
    assertThat(condition.multiple(1, NOW)).isBetween(1.0, 8.0);
  }

  @Test
  public void shouldTellAnUpstreamThatRefuses() {
    assertThat(condition.takenPart(NOW)).isEqualTo(1);
    for (int i = 0; i < 8; i++) {
      condition.recordAnswer(false, NOW);
    }
    assertThat(condition.takenPart(NOW)).isCloseTo(0.2, within(0.01));
    assertThat(condition.takenPart(NOW + millis(30_000))).isGreaterThan(0.9);
  }
}
