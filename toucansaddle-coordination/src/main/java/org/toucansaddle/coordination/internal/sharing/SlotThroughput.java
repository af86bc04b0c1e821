package org.toucansaddle.coordination.internal.sharing;

/**
 * Exponentially weighted average of the tokens that a busy slot produces in a second.
 *
 * <p>Not thread-safe.
 */
final class SlotThroughput {

  private static final double INITIAL_TOKENS_PER_SECOND = 50;
  private static final double SAMPLE_WEIGHT = 0.2;
  private static final long MIN_SAMPLE_MILLIS = 400;

  private double tokensPerSlotSecond = INITIAL_TOKENS_PER_SECOND;
  private double lastTotalTokens;
  private long lastSampleAtMillis = Long.MIN_VALUE;

  /**
   * Adds a sample; one that follows the last too soon is skipped.
   *
   * @param totalTokens tokens produced by the fleet so far
   * @param slotsInUse requests in flight
   * @param now current time, in milliseconds
   */
  void addSample(double totalTokens, int slotsInUse, long now) {
    if (lastSampleAtMillis == Long.MIN_VALUE) {
      lastSampleAtMillis = now;
      lastTotalTokens = totalTokens;
      return;
    }
    long elapsedMillis = now - lastSampleAtMillis;
    if (elapsedMillis < MIN_SAMPLE_MILLIS) {
      return;
    }
    double tokens = totalTokens - lastTotalTokens;
    lastSampleAtMillis = now;
    lastTotalTokens = totalTokens;
    if (slotsInUse > 0 && tokens > 0) {
      double measured = tokens * 1_000 / elapsedMillis / slotsInUse;
      tokensPerSlotSecond += SAMPLE_WEIGHT * (measured - tokensPerSlotSecond);
    }
  }

  double tokensPerSlotSecond() {
    return tokensPerSlotSecond;
  }
}
