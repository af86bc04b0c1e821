package org.toucansaddle.daemon.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ArrivalQueue}. */
public class ArrivalQueueTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long MAX_WAIT_NANOS = 400 * MILLI;

  /** Time after which callers leave. */
  private static final long PATIENCE_NANOS = 2_000 * MILLI;

  /** Time of the router for one request. */
  private static final long SERVICE_NANOS = 10 * MILLI;

  private static final double REFUSAL_PER_SERVICE_TIME = 0.02;
  private static final int CAPACITY = 1_000;
  private static final long DURATION_NANOS = TimeUnit.SECONDS.toNanos(30);

  @Test
  public void shouldTakeNewestFirst() {
    ArrivalQueue<String> queue = new ArrivalQueue<>(CAPACITY, () -> MAX_WAIT_NANOS);
    queue.add("older", 0);
    queue.add("newer", MILLI);
    assertThat(queue.takeNewest()).contains("newer");
    assertThat(queue.takeNewest()).contains("older");
    assertThat(queue.takeNewest()).isEmpty();
  }

  @Test
  public void shouldGiveUpOldestIfTooManyWait() {
    ArrivalQueue<String> queue = new ArrivalQueue<>(1, () -> MAX_WAIT_NANOS);
    assertThat(queue.add("older", 0)).isEmpty();
    assertThat(queue.add("newer", 1)).contains("older");
  }

  @Test
  public void shouldReturnOnlyOverdueConnections() {
    ArrivalQueue<String> queue = new ArrivalQueue<>(CAPACITY, () -> MAX_WAIT_NANOS);
    queue.add("older", 0);
    queue.add("newer", MILLI);
    assertThat(queue.takeOverdue(MAX_WAIT_NANOS)).isEmpty();
    assertThat(queue.takeOverdue(MAX_WAIT_NANOS + 1)).contains("older");
    assertThat(queue.takeOverdue(MAX_WAIT_NANOS + 1)).isEmpty();
    assertThat(queue.isEmpty()).isFalse();
  }

  @DataProvider
  public Object[][] offeredLoads() {
    return new Object[][] {{0.5}, {1.0}, {2.0}, {4.0}, {8.0}};
  }

  /** Flood of one router: guards against a queue of requests whose callers are gone. */
  @Test(dataProvider = "offeredLoads")
  public void shouldKeepGoodputUnderAnyOfferedLoad(double load) {
    ArrivalQueue<Long> queue = new ArrivalQueue<>(CAPACITY, () -> MAX_WAIT_NANOS);
    long interval = (long) (SERVICE_NANOS / load);
    long nextArrival = 0;
    int served = 0;
    long now = 0;
    while (now < DURATION_NANOS) {
      for (; nextArrival <= now; nextArrival += interval) {
        queue.add(nextArrival, nextArrival);
      }
      while (queue.takeOverdue(now).isPresent()) {
        now += (long) (SERVICE_NANOS * REFUSAL_PER_SERVICE_TIME);
      }
      Optional<Long> next = queue.takeNewest();
      if (next.isPresent()) {
        now += SERVICE_NANOS;
        served += now - next.get() <= PATIENCE_NANOS ? 1 : 0;
      } else {
        now = Math.max(now, nextArrival);
      }
    }
    double goodput = served * (double) SERVICE_NANOS / DURATION_NANOS;
    assertThat(goodput)
        .as("goodput at %s times the capacity", load)
        .isGreaterThan(0.8 * Math.min(1, load));
  }

  /** Guards against callers with short targets who wait as long as those with long ones. */
  @Test
  public void shouldFollowWaitThatChanges() {
    long[] maxWaitNanos = {MAX_WAIT_NANOS};
    ArrivalQueue<String> queue = new ArrivalQueue<>(CAPACITY, () -> maxWaitNanos[0]);
    queue.add("a", 0);
    assertThat(queue.takeOverdue(60 * MILLI)).isEmpty();
    maxWaitNanos[0] = 50 * MILLI;
    assertThat(queue.takeOverdue(60 * MILLI)).contains("a");
  }
}
