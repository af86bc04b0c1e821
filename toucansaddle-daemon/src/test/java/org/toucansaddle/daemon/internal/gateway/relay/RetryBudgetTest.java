package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RetryBudget}. */
public class RetryBudgetTest {

  private static final int WINDOW_MILLIS = 10_000;

  private AtomicLong clock;
  private AtomicInteger routers;
  private RetryBudget budget;

  @BeforeMethod
  public void createBudget() {
    clock = new AtomicLong();
    routers = new AtomicInteger(1);
    budget = new RetryBudget(0.2, 50, WINDOW_MILLIS, routers::get, clock::get);
  }

  private int repeatsGranted() {
    int granted = 0;
    while (budget.tryRepeat()) {
      granted++;
    }
    return granted;
  }

  @Test
  public void shouldStayWithinRatioAndSlackAlsoWhenEveryAttemptFails() {
    for (int i = 0; i < 100; i++) {
      budget.request();
    }
    assertThat(repeatsGranted()).isBetween(40, 70);
    clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS / 2));
    assertThat(repeatsGranted()).isZero();
  }

  @Test
  public void shouldGrantAgainAfterTheWindow() {
    int first = repeatsGranted();
    clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS + 1));
    assertThat(repeatsGranted()).isEqualTo(first);
  }

  @Test
  public void shouldShareTheSlackWithTheOtherRouters() {
    routers.set(8);
    assertThat(repeatsGranted() * 8).isLessThanOrEqualTo(50);
  }
}
