package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.routing.AnswerOrder.Finding;

/** Pattern: an upstream that answers some requests and hangs with others, or with all. */
public class AnswerOrderTest {

  private static final long DUE = millis(400);
  private static final long TARGET = millis(1_000);

  private AnswerOrder order;

  @BeforeMethod
  public void create() {
    order = new AnswerOrder();
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
    order.answered(millis(sent), millis(answered));
    assertThat(order.judge(0, DUE, TARGET, millis(now))).isEqualTo(finding);
  }

  @Test
  public void shouldWaitLongerWhereMuchStandsBeforeTheFirstAnswer() {
    assertThat(order.judge(0, millis(800), TARGET, millis(1_599))).isEqualTo(Finding.NONE);
    assertThat(order.judge(0, millis(800), TARGET, millis(1_600))).isEqualTo(Finding.ALL_SILENT);
  }

  @Test
  public void shouldKeepTheNewestRequestThatWasAnswered() {
    order.answered(millis(900), millis(950));
    order.answered(millis(-500), millis(990));
    assertThat(order.judge(0, DUE, TARGET, millis(1_000))).isEqualTo(Finding.OVERTAKEN);
  }

  private boolean isOvertaken(long now) {
    return order.found(Finding.OVERTAKEN, millis(now));
  }

  @Test
  public void shouldBeOnProbationAfterAPauseUntilItAnsweredAFew() {
    isOvertaken(0);
    order.answered(millis(2_000), millis(3_100));
    assertThat(order.isOnProbation(millis(2_999))).isFalse();
    assertThat(order.isOnProbation(millis(3_100))).isTrue();
    for (int i = 0; i < 7; i++) {
      order.answered(millis(3_100), millis(3_200));
    }
    assertThat(order.isOnProbation(millis(3_200))).isTrue();
    order.answered(millis(3_100), millis(3_300));
    assertThat(order.isOnProbation(millis(3_300))).isFalse();
  }

  @Test
  public void shouldEndAProbationWithoutRequests() {
    isOvertaken(0);
    assertThat(order.isOnProbation(millis(7_999))).isTrue();
    assertThat(order.isOnProbation(millis(8_000))).isFalse();
  }

  @Test
  public void shouldDoubtButNotPauseAnUpstreamThatAnswersNothing() {
    assertThat(order.found(Finding.ALL_SILENT, millis(0))).isTrue();
    assertThat(order.found(Finding.ALL_SILENT, millis(100))).as("already doubted").isFalse();
    assertThat(order.isPaused(millis(100))).isFalse();
    assertThat(order.isOnProbation(millis(100))).isTrue();
    assertThat(order.isOnProbation(millis(5_000))).isFalse();
  }

  @Test
  public void shouldPauseLongerEachTimeButForgive() {
    assertThat(isOvertaken(0)).isTrue();
    assertThat(isOvertaken(2_999)).as("during the pause").isFalse();
    assertThat(order.isPaused(millis(3_000))).isFalse();
    assertThat(isOvertaken(4_000)).isTrue();
    assertThat(order.isPaused(millis(9_999))).isTrue();
    assertThat(order.isPaused(millis(10_000))).isFalse();
    assertThat(isOvertaken(11_000)).isTrue();
    assertThat(order.isPaused(millis(22_999))).isTrue();
    assertThat(isOvertaken(31_001)).isTrue();
    assertThat(order.isPaused(millis(34_001))).as("forgiven after 20 s").isFalse();
  }
}
