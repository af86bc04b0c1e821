package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.ThreadLocalRandom;

/**
 * When a caller who was sent away should come back.
 *
 * <p>Soon enough to be answered within its target, which counts from its first try, and spread, so
 * that callers who were sent away together do not return together. Stateless and thread-safe.
 */
final class RetryAfter {

  /** Least part of the target, in which shares and queues have changed noticeably. */
  private static final double MIN_TARGET_FRACTION = 0.15;

  /** Most of the target, which leaves half of it for the answer. */
  private static final double MAX_TARGET_FRACTION = 0.45;

  private RetryAfter() {}

  /** Returns the pause of one caller, in milliseconds. */
  static long randomDelayMillis(int targetMillis) {
    double part = ThreadLocalRandom.current().nextDouble(MIN_TARGET_FRACTION, MAX_TARGET_FRACTION);
    return Math.max(1, Math.round(part * targetMillis));
  }
}
