package org.toucansaddle.coordination.internal.sharing;

/** Running estimate of the tokens that one busy slot yields in a second. Not thread-safe. */
final class SlotThroughput {

  private static final double INITIAL_TOKENS_PER_SECOND = 50;
  private static final double SAMPLE_WEIGHT = 0.2;
  private static final long MIN_SAMPLE_MILLIS = 400;

  private double tokensPerSlotSecond = INITIAL_TOKENS_PER_SECOND;
  private double lastTotalTokens;
  private long lastSampleAtMillis = Long.MIN_VALUE;

  /** Takes the fleet's total tokens and the slots in use at {@code now} in milliseconds. */
  void addSample(double totalTokens, int slotsInUse, long now) {
    if (lastSampleAtMillis == Long.MIN_VALUE) {
      lastSampleAtMillis = now;
      lastTotalTokens = totalTokens;
      return;
    }
    long span = now - lastSampleAtMillis;
    if (span < MIN_SAMPLE_MILLIS) {
      return;
    }
    double tokens = totalTokens - lastTotalTokens;
    lastSampleAtMillis = now;
    lastTotalTokens = totalTokens;
    if (slotsInUse > 0 && tokens > 0) {
      double measured = tokens * 1_000 / span / slotsInUse;
      tokensPerSlotSecond += SAMPLE_WEIGHT * (measured - tokensPerSlotSecond);
    }
  }

  double tokensPerSlotSecond() {
    return tokensPerSlotSecond;
  }
}
