package org.toucansaddle.coordination.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Retry budgets and strikes. */
public class RetryTest {

  @DataProvider
  static Object[][] budgets() {
    return new Object[][] {{0.2, 10, 100, 30}, {0.5, 2, 10, 7}, {0.0, 3, 50, 3}};
  }

  @Test(dataProvider = "budgets")
  public void shouldNotExceedReserveAndShare(
      double share, int reserve, int requests, int mostRetries) {
    RetryBudget budget = new RetryBudget(share, reserve);
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      budget.requestArrived();
      retries += budget.tryRetry() ? 1 : 0;
    }
    assertThat(retries).isLessThanOrEqualTo(mostRetries);
    assertThat(retries).isGreaterThanOrEqualTo(reserve);
  }

  @Test
  public void shouldRefuseAtTheLimitUntilTheQuarantineEnds() {
    StrikeTable table = new StrikeTable(3, 1_000);
    table.strike(5, 0);
    table.strike(5, 10);
    assertThat(table.refusedForMillis(5, 10)).isZero();
    table.strike(5, 20);
    assertThat(table.refusedForMillis(5, 20)).isEqualTo(1_000);
    assertThat(table.refusedForMillis(5, 1_020)).isZero();
  }

  @Test
  public void shouldForgetStrikesOfARequestThatRan() {
    StrikeTable table = new StrikeTable(3, 1_000);
    table.strike(5, 0);
    table.strike(5, 0);
    table.clear(5);
    table.strike(5, 0);
    assertThat(table.count(5)).isEqualTo(1);
  }

  @Test
  public void shouldTakeTheHigherCountOfTwoRouters() {
    StrikeTable table = new StrikeTable(3, 1_000);
    table.strike(5, 0);
    table.merge(5, 3, 0, 5);
    table.merge(5, 2, 4, 5);
    assertThat(table.refusedForMillis(5, 5)).isEqualTo(995);
  }
}
