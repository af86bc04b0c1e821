package org.toucansaddle.coordination.internal.sharing;

/** Running estimate of the tokens that one busy slot yields in a second. Not thread-safe. */
final class SlotSpeed {

  private static final double INITIAL_TOKENS_PER_SECOND = 50;
  private static final double WEIGHT_OF_NEW = 0.2;
  private static final long MIN_SPAN_MILLIS = 400;

  private double tokensPerSlotSecond = INITIAL_TOKENS_PER_SECOND;
  private double lastTokens;
  private long lastAt = Long.MIN_VALUE;

  /** Takes the fleet's total tokens and the slots in use at {@code now} in milliseconds. */
  void observe(double totalTokens, int slotsInUse, long now) {
    if (lastAt == Long.MIN_VALUE) {
      lastAt = now;
      lastTokens = totalTokens;
      return;
    }
    long span = now - lastAt;
    if (span < MIN_SPAN_MILLIS) {
      return;
    }
    double tokens = totalTokens - lastTokens;
    lastAt = now;
    lastTokens = totalTokens;
    if (slotsInUse > 0 && tokens > 0) {
      double measured = tokens * 1_000 / span / slotsInUse;
      tokensPerSlotSecond += WEIGHT_OF_NEW * (measured - tokensPerSlotSecond);
    }
  }

  double tokensPerSlotSecond() {
    return tokensPerSlotSecond;
  }
}
