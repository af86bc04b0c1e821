package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.Finding;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.RequestCounts;

/** Pattern: an upstream that answers some requests and hangs with others, or with all. */
public class HangDetectorTest {

  private static final long DUE = millis(400);
  private static final long TARGET = millis(1_000);

  private HangDetector order;

  @BeforeMethod
  public void create() {
    order = new HangDetector();
  }

  private static long millis(long count) {
    return TimeUnit.MILLISECONDS.toNanos(count);
  }

  @DataProvider
  public Object[][] answersOfOthers() {
    return new Object[][] {
      // sent, answered, looked at, finding: of a request sent at 0
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

  @Test(dataProvider = "answersOfOthers")
  public void shouldGoByWhatWasAnsweredMeanwhile(
      long sent, long answered, long now, Finding finding) {
    order.recordAnswer(millis(sent), millis(answered));
    assertThat(order.evaluate(0, DUE, TARGET, millis(now))).isEqualTo(finding);
  }

  @Test
  public void shouldWaitLongerWhereMuchStandsBeforeTheFirstAnswer() {
    assertThat(order.evaluate(0, millis(800), TARGET, millis(1_599))).isEqualTo(Finding.NONE);
    assertThat(order.evaluate(0, millis(800), TARGET, millis(1_600))).isEqualTo(Finding.ALL_SILENT);
  }

  @Test
  public void shouldKeepTheNewestRequestThatWasAnswered() {
    order.recordAnswer(millis(900), millis(950));
    order.recordAnswer(millis(-500), millis(990));
    assertThat(order.evaluate(0, DUE, TARGET, millis(1_000))).isEqualTo(Finding.OVERTAKEN);
  }

  /** Finds some of a few requests stuck, which is what other routers may find too. */
  private boolean isPausedBy(int stuck, int answeredMeanwhile, long at) {
    boolean began = false;
    for (int i = 0; i < answeredMeanwhile; i++) {
      order.recordAnswer(millis(at - 300), millis(at));
    }
    for (int i = 0; i < stuck; i++) {
      began |= order.recordFinding(Finding.OVERTAKEN, millis(at));
    }
    return began;
  }

  @DataProvider
  public Object[][] parts() {
    return new Object[][] {
      // stuck here, answered here, stuck elsewhere, answered elsewhere, pause
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

  @Test(dataProvider = "parts")
  public void shouldPauseForAPartOfTheRequestsOfAllRoutersOnly(
      int stuck, int answered, int othersStuck, int othersAnswered, boolean pause) {
    order.updateRemoteCounts(new RequestCounts(othersStuck, othersAnswered), millis(0));
    isPausedBy(stuck, answered, 0);
    assertThat(order.isPaused(millis(1))).isEqualTo(pause);
  }

  @Test
  public void shouldForgetWhatWasStuckLongAgo() {
    isPausedBy(1, 0, 0);
    isPausedBy(1, 0, 4_000);
    assertThat(order.isPaused(millis(4_001))).isFalse();
    assertThat(order.localCounts(millis(4_000)).stuck()).isBetween(1.1, 1.2);
  }

  @Test
  public void shouldBeOnProbationAfterAPauseUntilItAnsweredAFew() {
    isPausedBy(2, 0, 0);
    order.recordAnswer(millis(2_000), millis(3_100));
    assertThat(order.isOnProbation(millis(2_999))).isFalse();
    assertThat(order.isOnProbation(millis(3_100))).isTrue();
    for (int i = 0; i < 7; i++) {
      order.recordAnswer(millis(3_100), millis(3_200));
    }
    assertThat(order.isOnProbation(millis(3_200))).isTrue();
    order.recordAnswer(millis(3_100), millis(3_300));
    assertThat(order.isOnProbation(millis(3_300))).isFalse();
  }

  @Test
  public void shouldEndAProbationWithoutRequests() {
    isPausedBy(2, 0, 0);
    assertThat(order.isOnProbation(millis(7_999))).isTrue();
    assertThat(order.isOnProbation(millis(8_000))).isFalse();
  }

  @DataProvider
  public Object[][] silences() {
    return new Object[][] {{Finding.ALL_SILENT}, {Finding.OVERTAKEN}};
  }

  @Test(dataProvider = "silences")
  public void shouldDoubtAnUpstreamForOneRequestUntilItAnsweredAFew(Finding finding) {
    for (int i = 0; i < 20; i++) {
      order.recordAnswer(millis(-100), millis(0));
    }
    assertThat(order.recordFinding(finding, millis(0))).isTrue();
    assertThat(order.recordFinding(finding, millis(100))).as("already doubted").isFalse();
    assertThat(order.isPaused(millis(100))).isFalse();
    assertThat(order.isOnProbation(millis(100))).isTrue();
    for (int i = 0; i < 8; i++) {
      order.recordAnswer(millis(150), millis(200));
    }
    assertThat(order.isOnProbation(millis(200))).isFalse();
  }

  @Test
  public void shouldPauseLongerEachTimeButForgive() {
    assertThat(isPausedBy(2, 0, 0)).isTrue();
    assertThat(isPausedBy(2, 0, 2_999)).as("during the pause").isFalse();
    assertThat(order.isPaused(millis(3_000))).isFalse();
    assertThat(isPausedBy(2, 0, 6_000)).isTrue();
    assertThat(order.isPaused(millis(11_999))).isTrue();
    assertThat(order.isPaused(millis(12_000))).isFalse();
    assertThat(isPausedBy(2, 0, 13_000)).isTrue();
    assertThat(order.isPaused(millis(24_999))).isTrue();
    assertThat(isPausedBy(2, 0, 33_001)).isTrue();
    assertThat(order.isPaused(millis(36_001))).as("forgiven after 20 s").isFalse();
  }
}
