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

  /** Requests that come in bursts, of which all fail and are repeated as often as allowed. */
  @Test
  public void shouldHoldInEveryWindowOfEverySchedule() {
    for (int seed = 0; seed < 300; seed++) {
      createBudget();
      SplittableRandom random = new SplittableRandom(seed);
      List<Long> requests = new ArrayList<>();
      List<Long> repeats = new ArrayList<>();
      for (int step = 0; step < 60; step++) {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(random.nextInt(3_000)));
        int burst = random.nextInt(4) == 0 ? random.nextInt(400) : random.nextInt(5);
        for (int i = 0; i < burst; i++) {
          budget.request();
          requests.add(clock.get());
        }
        int granted = random.nextInt(3) == 0 ? repeatsGranted() : 0;
        repeats.addAll(Collections.nCopies(granted, clock.get()));
      }
      checkEveryWindow(requests, repeats, seed);
    }
  }

  /** The bound that operators state: the window itself, the one before, or half a window before. */
  private static void checkEveryWindow(List<Long> requests, List<Long> repeats, int seed) {
    long window = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);
    long step = window / 40;
    long last = requests.get(requests.size() - 1) + window;
    for (long end = 0; end < last; end += step) {
      long most =
          Math.max(
              count(requests, end - window, end),
              Math.max(
                  count(requests, end - 2 * window, end - window),
                  count(requests, end - 3 * window / 2, end - window / 2)));
      assertThat((double) count(repeats, end - window, end))
          .as("seed %d, window that ends at %d", seed, end)
          .isLessThanOrEqualTo(0.2 * most + 50);
    }
  }

  private static long count(List<Long> times, long from, long to) {
    return times.stream().filter(time -> time >= from && time <= to).count();
  }
}
