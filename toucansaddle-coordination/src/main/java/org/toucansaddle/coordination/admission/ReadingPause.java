package org.toucansaddle.coordination.admission;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a response is ended that its caller does not take.
 *
 * <p>Only the caller's silence counts: every byte that it takes starts the time anew. The time is
 * short while the upstream has more to send, since its slot is taken. Times are in nanoseconds of
 * any clock. Not thread-safe; does no I/O.
 */
public final class ReadingPause {

  /** Time without taking anything while the upstream has more to send. */
  public static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time without taking anything after which the caller of a complete response has gone. */
  public static final long MAX_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(60);

  private boolean paused;
  private boolean upstreamDone;
  private long pausedAt;
  private long takenAt;

  /** Records that the caller left bytes. */
  public void onLeft(long now) {
    if (!paused) {
      paused = true;
      pausedAt = now;
      takenAt = now;
    }
  }

  /** Records that the caller took some of the bytes. */
  public void onTaken(long now) {
    takenAt = now;
  }

  /** Records that the caller took all bytes, so that reading goes on. */
  public void onAllTaken() {
    paused = false;
  }

  /** Records that the upstream has completed the response. */
  public void onUpstreamDone(long now) {
    upstreamDone = true;
    takenAt = now;
  }

  /** Returns whether the caller has left bytes. */
  public boolean isPaused() {
    return paused;
  }

  /** Returns for how long the caller has left bytes. */
  public long pausedNanos(long now) {
    return paused ? now - pausedAt : 0;
  }

  /** Returns the time after which the response is ended; none is left if it is not positive. */
  public long remainingNanos(long now) {
    if (!paused) {
      return Long.MAX_VALUE;
    }
    return takenAt + (upstreamDone ? MAX_SILENCE_NANOS : MAX_PAUSE_NANOS) - now;
  }
}
