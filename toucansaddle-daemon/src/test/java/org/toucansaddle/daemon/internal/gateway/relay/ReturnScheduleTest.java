package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link ReturnSchedule}. */
public class ReturnScheduleTest {

  private static final int MAX_MILLIS = 10_000;

  private final ReturnSchedule schedule = new ReturnSchedule();

  private static long at(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Guards against callers that are all asked to return at the moment at which a pause ends. */
  @Test
  public void shouldAskCallersToReturnOneAfterTheOther() {
    ReturnSchedule returns = new ReturnSchedule();
    assertThat(returns.reserve(at(0), 2_000, 100, MAX_MILLIS)).isEqualTo(2_000);
    assertThat(returns.reserve(at(500), 1_500, 100, MAX_MILLIS)).isEqualTo(1_600);
    assertThat(returns.reserve(at(500), 1_500, 100, MAX_MILLIS)).isEqualTo(1_700);
    assertThat(returns.reserve(at(5_000), 300, 100, MAX_MILLIS)).isEqualTo(300);
  }

  /** Returns a schedule whose callers have returned when they were asked to. */
  private static ReturnSchedule trusted() {
    ReturnSchedule returns = new ReturnSchedule();
    for (int i = 0; i < 20; i++) {
      returns.reserve(at(-1_000), 0, 1, MAX_MILLIS);
      returns.admits(at(-900), true);
    }
    return returns;
  }

  /** Guards against new callers that take the place of one that was asked to return. */
  @Test
  public void shouldKeepAPlaceForTheCallerThatWasAskedToReturn() {
    ReturnSchedule returns = trusted();
    returns.reserve(at(0), 1_000, 100, MAX_MILLIS);
    assertThat(returns.admits(at(900), false)).isTrue();
    assertThat(returns.admits(at(1_010), false)).isFalse();
    assertThat(returns.admits(at(1_020), true)).isTrue();
    assertThat(returns.admits(at(1_030), false)).isTrue();
  }

  @Test
  public void shouldNotWaitLongForACallerThatDoesNotReturn() {
    ReturnSchedule returns = trusted();
    returns.reserve(at(0), 1_000, 100, MAX_MILLIS);
    assertThat(returns.admits(at(1_240), false)).isFalse();
    assertThat(returns.admits(at(1_260), false)).isTrue();
  }

  /** Guards against upstreams that idle for callers that never return. */
  @Test
  public void shouldAdmitNewCallersOnceMostDoNotReturn() {
    ReturnSchedule returns = trusted();
    for (int i = 0; i < 20; i++) {
      returns.reserve(at(0), 0, 1, MAX_MILLIS);
    }
    assertThat(returns.admits(at(200), false)).isFalse();
    returns.admits(at(400), false);
    returns.reserve(at(500), 0, 1, MAX_MILLIS);
    assertThat(returns.admits(at(510), false)).isTrue();
  }

  /** Guards against a queue of returns that grows beyond what callers wait for. */
  @Test
  public void shouldReserveNoPlaceThatIsTooLate() {
    for (int i = 0; i < 50; i++) {
      schedule.reserve(at(0), 0, 1_000, MAX_MILLIS);
    }
    assertThat(schedule.reserve(at(0), 0, 1_000, MAX_MILLIS)).isEqualTo(MAX_MILLIS + 1_000);
  }
}
