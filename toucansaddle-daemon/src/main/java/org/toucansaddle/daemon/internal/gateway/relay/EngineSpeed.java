package org.toucansaddle.daemon.internal.gateway.relay;

/**
 * Learns how many prompt tokens an engine of one service reads in a millisecond.
 *
 * <p>Thread-safe; a lost update costs one sample.
 */
public final class EngineSpeed {

  /** Shorter prompts tell more of the way there than of the engine. */
  private static final int LEAST_TOKENS = 3_000;

  /** Weight of one sample. */
  private static final double SAMPLE_WEIGHT = 0.05;

  private static final double SLOWEST = 2;
  private static final double FASTEST = 1_000;

  private volatile double learned;

  /**
   * Takes a sample.
   *
   * @param tokens tokens that stood before the first token of an answer
   * @param millis time until that token, in milliseconds
   */
  public void observed(long tokens, long millis) {
    if (tokens < LEAST_TOKENS || millis <= 0) {
      return;
    }
    double sample = Math.max(SLOWEST, Math.min(FASTEST, tokens / (double) millis));
    double before = learned;
    learned = before == 0 ? sample : before + SAMPLE_WEIGHT * (sample - before);
  }

  /** Returns the speed, or {@code otherwise} while nothing was learned. */
  public double tokensPerMilli(double otherwise) {
    double current = learned;
    return current == 0 ? otherwise : current;
  }
}
