package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.Finding;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.RequestCounts;

/** Tests of {@link HangDetector} with an upstream that hangs with some or all requests. */
public class HangDetectorTest {

  private static final long DUE_NANOS = millis(400);
  private static final long TARGET_NANOS = millis(1_000);

  private HangDetector detector;

  @BeforeMethod
  public void createDetector() {
    detector = new HangDetector();
  }

  private static long millis(long count) {
    return TimeUnit.MILLISECONDS.toNanos(count);
  }

  @DataProvider
  public Object[][] otherAnswers() {
    return new Object[][] {
      // other request sent, answered, evaluated at, finding about a request sent at 0; in ms
      {250, 350, 400, Finding.OVERTAKEN},
      {250, 350, 399, Finding.NONE},
      {500, 700, 1_000, Finding.OVERTAKEN},
      {150, 700, 1_500, Finding.NONE},
      {150, 700, 4_000, Finding.NONE},
      {-300, 200, 4_000, Finding.NONE},
      {-300, -100, 999, Finding.NONE},
      {-300, -100, 1_000, Finding.ALL_SILENT},
    };
  }

  @Test(dataProvider = "otherAnswers")
  public void shouldEvaluateARequestByTheAnswersToOthers(
      long sent, long answered, long now, Finding finding) {
    detector.recordAnswer(millis(sent), millis(answered));
    assertThat(detector.evaluate(0, DUE_NANOS, TARGET_NANOS, millis(now))).isEqualTo(finding);
  }

  @Test
  public void shouldWaitForTwiceTheDueTimeBeforeTheFirstAnswer() {
    assertThat(detector.evaluate(0, millis(800), TARGET_NANOS, millis(1_599)))
        .isEqualTo(Finding.NONE);
    assertThat(detector.evaluate(0, millis(800), TARGET_NANOS, millis(1_600)))
        .isEqualTo(Finding.ALL_SILENT);
  }

  @Test
  public void shouldTrackTheLatestSentRequestThatWasAnswered() {
    detector.recordAnswer(millis(900), millis(950));
    detector.recordAnswer(millis(-500), millis(990));
    assertThat(detector.evaluate(0, DUE_NANOS, TARGET_NANOS, millis(1_000)))
        .isEqualTo(Finding.OVERTAKEN);
  }

  /** Records answers and overtaken requests; returns whether a pause or a probation began. */
  private boolean recordRequests(int stuck, int answered, long atMillis) {
    boolean began = false;
    for (int i = 0; i < answered; i++) {
      detector.recordAnswer(millis(atMillis - 300), millis(atMillis));
    }
    for (int i = 0; i < stuck; i++) {
      began |= detector.recordFinding(Finding.OVERTAKEN, millis(atMillis));
    }
    return began;
  }

  @DataProvider
  public Object[][] requestCounts() {
    return new Object[][] {
      // local stuck, local answered, remote stuck, remote answered, whether a pause begins
      {1, 3, 0, 0, false},
      {2, 3, 0, 0, true},
      {2, 40, 0, 0, false},
      {2, 6, 0, 400, true},
      {1, 2, 4, 6, true},
      {1, 30, 2, 60, false},
      {0, 20, 8, 12, true},
      {0, 0, 8, 12, true},
      {0, 0, 1, 0, false},
    };
  }

  @Test(dataProvider = "requestCounts")
  public void shouldPauseWhenTheRatioOfStuckRequestsIsHighLocallyOrOverAllRouters(
      int stuck, int answered, int remoteStuck, int remoteAnswered, boolean paused) {
    detector.updateRemoteCounts(new RequestCounts(remoteStuck, remoteAnswered), millis(0));
    recordRequests(stuck, answered, 0);
    assertThat(detector.isPaused(millis(1))).isEqualTo(paused);
  }

  @Test
  public void shouldDecayOldStuckRequests() {
    recordRequests(1, 0, 0);
    recordRequests(1, 0, 4_000);
    assertThat(detector.isPaused(millis(4_001))).isFalse();
    assertThat(detector.localCounts(millis(4_000)).stuck()).isBetween(1.1, 1.2);
  }

  @Test
  public void shouldStayOnProbationAfterAPauseUntilEightRequestsAreAnswered() {
    recordRequests(2, 0, 0);
    detector.recordAnswer(millis(2_000), millis(3_100));
    assertThat(detector.isOnProbation(millis(2_999))).isFalse();
    assertThat(detector.isOnProbation(millis(3_100))).isTrue();
    for (int i = 0; i < 7; i++) {
      detector.recordAnswer(millis(3_100), millis(3_200));
    }
    assertThat(detector.isOnProbation(millis(3_200))).isTrue();
    detector.recordAnswer(millis(3_100), millis(3_300));
    assertThat(detector.isOnProbation(millis(3_300))).isFalse();
  }

  @Test
  public void shouldEndProbationByTimeWithoutRequests() {
    recordRequests(2, 0, 0);
    assertThat(detector.isOnProbation(millis(7_999))).isTrue();
    assertThat(detector.isOnProbation(millis(8_000))).isFalse();
  }

  @DataProvider
  public Object[][] silences() {
    return new Object[][] {{Finding.ALL_SILENT}, {Finding.OVERTAKEN}};
  }

  @Test(dataProvider = "silences")
  public void shouldStartProbationForOneStuckRequest(Finding finding) {
    for (int i = 0; i < 20; i++) {
      detector.recordAnswer(millis(-100), millis(0));
    }
    assertThat(detector.recordFinding(finding, millis(0))).isTrue();
    assertThat(detector.recordFinding(finding, millis(100))).as("already on probation").isFalse();
    assertThat(detector.isPaused(millis(100))).isFalse();
    assertThat(detector.isOnProbation(millis(100))).isTrue();
    for (int i = 0; i < 8; i++) {
      detector.recordAnswer(millis(150), millis(200));
    }
    assertThat(detector.isOnProbation(millis(200))).isFalse();
  }

  @Test
  public void shouldDoubleTheNextPauseUntilItIsReset() {
    assertThat(recordRequests(2, 0, 0)).isTrue();
    assertThat(recordRequests(2, 0, 2_999)).as("during the pause").isFalse();
    assertThat(detector.isPaused(millis(3_000))).isFalse();
    assertThat(recordRequests(2, 0, 6_000)).isTrue();
    assertThat(detector.isPaused(millis(11_999))).isTrue();
    assertThat(detector.isPaused(millis(12_000))).isFalse();
    assertThat(recordRequests(2, 0, 13_000)).isTrue();
    assertThat(detector.isPaused(millis(24_999))).isTrue();
    assertThat(recordRequests(2, 0, 33_001)).isTrue();
    assertThat(detector.isPaused(millis(36_001)))
        .as("first length again 20 s after the last pause began")
        .isFalse();
  }
}
