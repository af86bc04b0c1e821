package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Start, first byte and deadline of one call. Confined to the call's I/O thread. */
final class CallTimes {

  private static final double MILLIS_PER_SECOND = 1e3;

  private final LongSupplier nanoClock;
  private final long startNanos;
  private final long deadlineNanos;
  private boolean hasFirstByte;
  private long firstByteNanos;

  CallTimes(LongSupplier nanoClock, long startNanos, int timeoutMillis) {
    this.nanoClock = nanoClock;
    this.startNanos = startNanos;
    this.deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }

  /** Records that content arrived; returns whether it was the first. */
  boolean recordFirstByte() {
    if (hasFirstByte) {
      return false;
    }
    hasFirstByte = true;
    firstByteNanos = nanoClock.getAsLong();
    return true;
  }

  /** Returns the time until the first content, in milliseconds; -1 if there was none. */
  long firstByteMillis() {
    return hasFirstByte ? TimeUnit.NANOSECONDS.toMillis(firstByteNanos - startNanos) : -1;
  }

  double firstByteSeconds() {
    return firstByteMillis() / MILLIS_PER_SECOND;
  }

  long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - startNanos);
  }

  long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nanoClock.getAsLong());
  }
}
