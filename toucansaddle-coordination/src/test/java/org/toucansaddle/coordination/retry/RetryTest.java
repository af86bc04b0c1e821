package org.toucansaddle.coordination.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.retry.StrikeTable.Strikes;

/** Tests of the retry budget and the strike table. */
public class RetryTest {

  @DataProvider
  static Object[][] budgets() {
    return new Object[][] {{0.2, 10, 100, 30}, {0.5, 2, 10, 7}, {0.0, 3, 50, 3}};
  }

  @Test(dataProvider = "budgets")
  public void shouldNotExceedReserveAndShare(
      double share, int reserve, int requests, int maxRetries) {
    RetryBudget budget = new RetryBudget(share, reserve);
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      budget.recordRequest();
      retries += budget.tryAcquireRetry() ? 1 : 0;
    }
    assertThat(retries).isLessThanOrEqualTo(maxRetries);
    assertThat(retries).isGreaterThanOrEqualTo(reserve);
  }

  @Test
  public void shouldRefuseAtLimitUntilQuarantineEnds() {
    StrikeTable table = new StrikeTable(3, 1_000);
    table.recordStrike(5, 0);
    table.recordStrike(5, 10);
    assertThat(table.refusedForMillis(5, 10)).isZero();
    table.recordStrike(5, 20);
    assertThat(table.refusedForMillis(5, 20)).isEqualTo(1_000);
    assertThat(table.refusedForMillis(5, 1_020)).isZero();
  }

  @Test
  public void shouldClearStrikesOfCompletedRequest() {
    StrikeTable table = new StrikeTable(3, 1_000);
    table.recordStrike(5, 0);
    table.recordStrike(5, 0);
    table.clear(5);
    table.recordStrike(5, 0);
    assertThat(table.count(5)).isEqualTo(1);
  }

  /** Keeps the behaviour beside routers that report counts without ids. */
  @Test
  public void shouldKeepHigherCountWhenMergingRoutersWithoutIds() {
    StrikeTable table = new StrikeTable(3, 1_000);
    table.recordStrike(5, 0);
    table.merge(new Strikes(5, 3, 0, Set.of()), 5);
    table.merge(new Strikes(5, 2, 4, Set.of()), 5);
    assertThat(table.refusedForMillis(5, 5)).isEqualTo(995);
  }

  /** Guards against routers whose strikes of the same time count as one. */
  @Test
  public void shouldAddUpStrikesThatSeveralRoutersRecordedAtTheSameTime() {
    StrikeTable first = new StrikeTable(3, 1_000);
    StrikeTable second = new StrikeTable(3, 1_000);
    StrikeTable third = new StrikeTable(3, 1_000);
    first.recordStrike(5, 0);
    second.recordStrike(5, 0);
    third.recordStrike(5, 0);
    for (int i = 0; i < 2; i++) {
      first.merge(second.find(5).orElseThrow(), 0);
      first.merge(third.find(5).orElseThrow(), 0);
    }
    assertThat(first.count(5)).isEqualTo(3);
    assertThat(first.refusedForMillis(5, 0)).isEqualTo(1_000);
  }
}
