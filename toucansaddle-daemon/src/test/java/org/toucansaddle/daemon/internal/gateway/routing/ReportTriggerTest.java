package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ReportTrigger}. */
public class ReportTriggerTest {

  private final List<Runnable> scheduled = new ArrayList<>();
  private final List<Long> delaysMillis = new ArrayList<>();
  private long nowNanos;
  private int runs;
  private ReportTrigger trigger;

  @BeforeMethod
  public void createTrigger() {
    scheduled.clear();
    delaysMillis.clear();
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    runs = 0;
    trigger =
        new ReportTrigger(
            () -> runs++,
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
    trigger.trigger();
    runScheduled();
    advanceMillis(20);
    trigger.trigger();
    runScheduled();
    assertThat(delaysMillis).containsExactly(0L, 0L);
    assertThat(runs).isEqualTo(2);
  }

  @Test
  public void shouldRunOnceForAllThatIsTriggeredWithinInterval() {
    trigger.trigger();
    runScheduled();
    advanceMillis(5);
    trigger.trigger();
    advanceMillis(5);
    trigger.trigger();
    assertThat(delaysMillis).containsExactly(0L, 15L);
    runScheduled();
    assertThat(runs).isEqualTo(2);
  }

  /** Guards against what is triggered during a run staying unsent until the periodic report. */
  @Test
  public void shouldRunAgainForWhatIsTriggeredDuringRun() {
    ReportTrigger[] self = new ReportTrigger[1];
    self[0] =
        new ReportTrigger(
            () -> {
              runs++;
              if (runs == 1) {
                self[0].trigger();
              }
            },
            (action, delayNanos) -> scheduled.add(action),
            () -> nowNanos);
    self[0].trigger();
    runScheduled();
    runScheduled();
    assertThat(runs).isEqualTo(2);
  }
}
