package org.toucansaddle.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link ReadingPause}, named by how the caller reads. */
public class ReadingPauseTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final long start = -5 * SECOND;

  private static ReadingPause pausedAt(long time) {
    ReadingPause pause = new ReadingPause();
    pause.onLeft(time);
    return pause;
  }

  /** Guards against a caller that has stopped for good and keeps the slot of its upstream. */
  @Test
  public void shouldEndResponseOfCallerThatStopped() {
    ReadingPause pause = pausedAt(start);
    pause.onLeft(start + SECOND);
    assertThat(pause.remainingNanos(start + ReadingPause.MAX_PAUSE_NANOS - 1)).isEqualTo(1);
    assertThat(pause.remainingNanos(start + ReadingPause.MAX_PAUSE_NANOS)).isZero();
  }

  /** Guards against responses that callers lose although they take bytes, however few. */
  @Test
  public void shouldKeepResponseOfCallerThatTakesOneByteBeforeEachLimit() {
    ReadingPause pause = pausedAt(start);
    long now = start;
    for (int taken = 0; taken < 10_000; taken++) {
      now += ReadingPause.MAX_PAUSE_NANOS - 1;
      assertThat(pause.remainingNanos(now)).isEqualTo(1);
      pause.onTaken(now);
      assertThat(pause.remainingNanos(now)).isEqualTo(ReadingPause.MAX_PAUSE_NANOS);
    }
    assertThat(pause.pausedNanos(now)).isEqualTo(now - start);
  }

  /** Guards against a caller that stops after a trickle and keeps the slot of its upstream. */
  @Test
  public void shouldEndResponseOfCallerThatStopsAfterATrickle() {
    ReadingPause pause = pausedAt(start);
    long last = start + 3 * SECOND;
    pause.onTaken(last);
    assertThat(pause.remainingNanos(last + ReadingPause.MAX_PAUSE_NANOS - 1)).isEqualTo(1);
    assertThat(pause.remainingNanos(last + ReadingPause.MAX_PAUSE_NANOS)).isZero();
  }

  /** Guards against slow callers whose upstreams are read now and then, and which are ended. */
  @Test
  public void shouldKeepResponseOfSlowCallerThatTakesEverythingInTime() {
    ReadingPause pause = new ReadingPause();
    long now = start;
    for (int read = 0; read < 100; read++) {
      pause.onLeft(now);
      now += ReadingPause.MAX_PAUSE_NANOS - 1;
      assertThat(pause.remainingNanos(now)).isPositive();
      pause.onAllTaken();
      assertThat(pause.remainingNanos(now)).isEqualTo(Long.MAX_VALUE);
    }
  }

  /** Guards against complete responses that are withheld from callers that still read them. */
  @Test
  public void shouldDeliverCompleteResponseToCallerThatReadsOneByteASecond() {
    ReadingPause pause = pausedAt(start);
    pause.onUpstreamDone(start + SECOND);
    long now = start + SECOND;
    for (int taken = 0; taken < 10_000; taken++) {
      now += SECOND;
      pause.onTaken(now);
      assertThat(pause.remainingNanos(now)).isEqualTo(ReadingPause.MAX_SILENCE_NANOS);
    }
  }

  /** Guards against callers that are gone without a word and hold complete responses for ever. */
  @Test
  public void shouldEndCompleteResponseOfCallerThatTakesNothing() {
    ReadingPause pause = pausedAt(start);
    pause.onUpstreamDone(start + SECOND);
    long end = start + SECOND + ReadingPause.MAX_SILENCE_NANOS;
    assertThat(pause.remainingNanos(end - 1)).isEqualTo(1);
    assertThat(pause.remainingNanos(end)).isZero();
  }
}
