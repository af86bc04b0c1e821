package org.toucansaddle.daemon.internal;

import java.util.concurrent.TimeUnit;

/** Monotonic time of this process. Stateless and thread-safe. */
public final class MonotonicClock {

  private MonotonicClock() {}

  /** Returns monotonic milliseconds. */
  public static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
