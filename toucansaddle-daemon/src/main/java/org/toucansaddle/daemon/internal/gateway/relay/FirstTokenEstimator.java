package org.toucansaddle.daemon.internal.gateway.relay;

/**
 * Learns how long engines of one service take until the first token of an answer.
 *
 * <p>The expected time is that of reading what stands before the token at a nominal speed, times a
 * factor that follows what was seen: it takes in what else the engines do. Thread-safe; a lost
 * update costs one sample.
 */
public final class FirstTokenEstimator {

  /** Time of an answer that has nothing to read, in milliseconds. */
  private static final double BASE_MILLIS = 20;

  /** Weight of one sample. */
  private static final double SAMPLE_WEIGHT = 0.05;

  private static final double MIN_FACTOR = 0.2;
  private static final double MAX_FACTOR = 8;

  private volatile double factor = 1;

  /**
   * Takes a sample.
   *
   * @param tokens tokens that stood before the first token of an answer
   * @param tokensPerMilli nominal speed
   * @param millis time until that token, in milliseconds
   */
  public void addSample(long tokens, double tokensPerMilli, long millis) {
    double sample = millis / nominalMillis(tokens, tokensPerMilli);
    double bounded = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, sample));
    double before = factor;
    factor = before + SAMPLE_WEIGHT * (bounded - before);
  }

  /** Returns the expected time until a token that tokens stand before, in milliseconds. */
  public double estimateMillis(long tokens, double tokensPerMilli) {
    return factor * nominalMillis(tokens, tokensPerMilli);
  }

  private static double nominalMillis(long tokens, double tokensPerMilli) {
    return BASE_MILLIS + Math.max(0, tokens) / tokensPerMilli;
  }
}
