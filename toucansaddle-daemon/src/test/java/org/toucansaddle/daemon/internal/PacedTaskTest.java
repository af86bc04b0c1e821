package org.toucansaddle.daemon.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link PacedTask}. */
public class PacedTaskTest {

  private static final int INTERVAL_MILLIS = 20;

  private final List<Runnable> scheduled = new ArrayList<>();
  private final List<Long> delaysMillis = new ArrayList<>();
  private long nowNanos;
  private int runs;
  private PacedTask task;

  @BeforeMethod
  public void createTask() {
    scheduled.clear();
    delaysMillis.clear();
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    runs = 0;
    task =
        new PacedTask(
            () -> runs++,
            INTERVAL_MILLIS,
            (action, delayNanos) -> {
              scheduled.add(action);
              delaysMillis.add(TimeUnit.NANOSECONDS.toMillis(delayNanos));
            },
            () -> nowNanos);
  }

  private void runScheduled() {
    List<Runnable> due = List.copyOf(scheduled);
    scheduled.clear();
    due.forEach(Runnable::run);
  }

  private void advanceMillis(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Test
  public void shouldRunAtOnceAfterPause() {
    task.request();
    runScheduled();
    advanceMillis(20);
    task.request();
    runScheduled();
    assertThat(delaysMillis).containsExactly(0L, 0L);
    assertThat(runs).isEqualTo(2);
  }

  @Test
  public void shouldRunOnceForAllRequestsWithinInterval() {
    task.request();
    runScheduled();
    advanceMillis(5);
    task.request();
    advanceMillis(5);
    task.request();
    assertThat(delaysMillis).containsExactly(0L, 15L);
    runScheduled();
    assertThat(runs).isEqualTo(2);
  }

  /** Guards against what is recorded during a report staying unsent until the next periodic one. */
  @Test
  public void shouldRunAgainForRequestDuringRun() {
    PacedTask[] self = new PacedTask[1];
    self[0] =
        new PacedTask(
            () -> {
              runs++;
              if (runs == 1) {
                self[0].request();
              }
            },
            INTERVAL_MILLIS,
            (action, delayNanos) -> scheduled.add(action),
            () -> nowNanos);
    self[0].request();
    runScheduled();
    runScheduled();
    assertThat(runs).isEqualTo(2);
  }
}
