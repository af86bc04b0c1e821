package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Pattern: an upstream that answers some requests and hangs with others, or with all. */
public class AnswerOrderTest {

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
      // sent, answered, looked at, stuck: of a request sent at 0
      {500, 700, 1_000, true},
      {500, 700, 999, false},
      {150, 700, 1_500, false},
      {150, 700, 4_000, false},
      {-300, 200, 4_000, false},
      {-300, -100, 1_999, false},
      {-300, -100, 2_000, true},
    };
  }

  @Test(dataProvider = "answersOfOthers")
  public void shouldGoByWhatWasAnsweredMeanwhile(
      long sent, long answered, long now, boolean stuck) {
    order.answered(millis(sent), millis(answered));
    assertThat(order.isStuck(0, TARGET, millis(now))).isEqualTo(stuck);
  }

  @Test
  public void shouldWaitTwiceTheTargetForTheVeryFirstAnswer() {
    assertThat(order.isStuck(0, TARGET, millis(1_900))).isFalse();
    assertThat(order.isStuck(0, TARGET, millis(2_000))).isTrue();
  }

  @Test
  public void shouldKeepTheNewestRequestThatWasAnswered() {
    order.answered(millis(900), millis(950));
    order.answered(millis(-500), millis(990));
    assertThat(order.isStuck(0, TARGET, millis(1_000))).isTrue();
  }

  @Test
  public void shouldPauseLongerEachTimeButForgive() {
    assertThat(order.stuck(millis(0))).isTrue();
    assertThat(order.stuck(millis(2_999))).as("during the pause").isFalse();
    assertThat(order.isPaused(millis(3_000))).isFalse();
    assertThat(order.stuck(millis(4_000))).isTrue();
    assertThat(order.isPaused(millis(9_999))).isTrue();
    assertThat(order.isPaused(millis(10_000))).isFalse();
    assertThat(order.stuck(millis(11_000))).isTrue();
    assertThat(order.isPaused(millis(22_999))).isTrue();
    assertThat(order.stuck(millis(31_001))).isTrue();
    assertThat(order.isPaused(millis(34_001))).as("forgiven after 20 s").isFalse();
  }
}
