package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.ThreadLocalRandom;
import org.toucansaddle.coordination.admission.LoadShedding.Others;

/**
 * Computes the delay after which a refused caller should retry.
 *
 * <p>The delay is short enough for a response within the target, which counts from the first
 * attempt, and random, so that callers refused together do not retry together. Stateless and
 * thread-safe.
 */
final class RetryAfter {

  /** Smallest fraction of the target; shorter delays see the same shares and queues again. */
  private static final double MIN_TARGET_FRACTION = 0.15;

  /** Largest fraction of the target; leaves half of the target for the response. */
  private static final double MAX_TARGET_FRACTION = 0.45;

  /** Delay for a retry at another router, which can read the request at once, in milliseconds. */
  private static final long ELSEWHERE_MILLIS = 10;

  private RetryAfter() {}

  /**
   * Returns the delay for one caller whose request this router cannot read, in milliseconds: short
   * if others can, otherwise such that this one may have caught up.
   */
  static long unreadDelayMillis(Others others, int targetMillis) {
    return others.haveRoom() ? ELSEWHERE_MILLIS : randomDelayMillis(targetMillis);
  }

  /** Returns a random delay for one caller, in milliseconds. */
  static long randomDelayMillis(int targetMillis) {
    double fraction =
        ThreadLocalRandom.current().nextDouble(MIN_TARGET_FRACTION, MAX_TARGET_FRACTION);
    return Math.max(1, Math.round(fraction * targetMillis));
  }
}
