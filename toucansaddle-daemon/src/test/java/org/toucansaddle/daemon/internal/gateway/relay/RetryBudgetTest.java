package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RetryBudget}. */
public class RetryBudgetTest {

  private static final int WINDOW_MILLIS = 10_000;

  private AtomicLong clockNanos;
  private AtomicInteger routerCount;
  private RetryBudget budget;

  @BeforeMethod
  public void createBudget() {
    clockNanos = new AtomicLong();
    routerCount = new AtomicInteger(1);
    budget = new RetryBudget(0.2, 50, WINDOW_MILLIS, routerCount::get, clockNanos::get);
  }

  private int acquireAllRetries() {
    int granted = 0;
    while (budget.tryAcquireRetry()) {
      granted++;
    }
    return granted;
  }

  @Test
  public void shouldStayWithinRatioAndSlackWhenEveryAttemptFails() {
    for (int i = 0; i < 100; i++) {
      budget.recordRequest();
    }
    assertThat(acquireAllRetries()).isBetween(40, 70);
    clockNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS / 2));
    assertThat(acquireAllRetries()).isZero();
  }

  @Test
  public void shouldGrantRetriesAgainAfterWindow() {
    int first = acquireAllRetries();
    clockNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS + 1));
    assertThat(acquireAllRetries()).isEqualTo(first);
  }

  @Test
  public void shouldShareSlackWithOtherRouters() {
    routerCount.set(8);
    assertThat(acquireAllRetries() * 8).isLessThanOrEqualTo(50);
  }

  /** Bursts of requests that all fail and are retried as often as allowed. */
  @Test
  public void shouldStayWithinBudgetInEveryWindow() {
    for (int seed = 0; seed < 300; seed++) {
      createBudget();
      SplittableRandom random = new SplittableRandom(seed);
      List<Long> requests = new ArrayList<>();
      List<Long> retries = new ArrayList<>();
      for (int step = 0; step < 60; step++) {
        clockNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(random.nextInt(3_000)));
        int burst = random.nextInt(4) == 0 ? random.nextInt(400) : random.nextInt(5);
        for (int i = 0; i < burst; i++) {
          budget.recordRequest();
          requests.add(clockNanos.get());
        }
        int granted = random.nextInt(3) == 0 ? acquireAllRetries() : 0;
        retries.addAll(Collections.nCopies(granted, clockNanos.get()));
      }
      assertEveryWindow(requests, retries, seed);
    }
  }

  /** The specified bound: requests of the window, the previous one, or half a window earlier. */
  private static void assertEveryWindow(List<Long> requests, List<Long> retries, int seed) {
    long window = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);
    long step = window / 40;
    long last = requests.get(requests.size() - 1) + window;
    for (long end = 0; end < last; end += step) {
      long maxRequests =
          Math.max(
              count(requests, end - window, end),
              Math.max(
                  count(requests, end - 2 * window, end - window),
                  count(requests, end - 3 * window / 2, end - window / 2)));
      assertThat((double) count(retries, end - window, end))
          .as("seed %d, window that ends at %d", seed, end)
          .isLessThanOrEqualTo(0.2 * maxRequests + 50);
    }
  }

  private static long count(List<Long> times, long from, long to) {
    return times.stream().filter(time -> time >= from && time <= to).count();
  }
}
