package org.toucansaddle.daemon.internal;

import java.util.concurrent.TimeUnit;

/** Monotonic clock of this process. Stateless and thread-safe. */
public final class MonotonicClock {

  private MonotonicClock() {}

  /** Returns the monotonic time in milliseconds; only differences are meaningful. */
  public static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
