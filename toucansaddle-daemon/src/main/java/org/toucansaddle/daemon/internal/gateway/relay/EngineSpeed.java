package org.toucansaddle.daemon.internal.gateway.relay;

/**
 * Learns how long engines of one service take until the first token of an answer.
 *
 * <p>The expected time is that of reading what stands before the token at a nominal speed, times a
 * factor that most of what was seen stays within: it takes in what else the engines do, and a few
 * prompts that had to be read anew do not move it. Thread-safe; a lost update costs one sample.
 */
public final class EngineSpeed {

  /** Time of an answer that has nothing to read, in milliseconds. */
  private static final double LEAST_MILLIS = 20;

  /** Part of the answers that come within the expected time. */
  private static final double QUANTILE = 0.7;

  /** Change of the factor for one sample that all others agree with. */
  private static final double STEP = 0.04;

  private static final double LEAST_FACTOR = 0.2;
  private static final double MOST_FACTOR = 8;

  private volatile double factor = 1;

  /**
   * Takes a sample.
   *
   * @param tokens tokens that stood before the first token of an answer
   * @param tokensPerMilli nominal speed
   * @param millis time until that token, in milliseconds
   */
  public void observed(long tokens, double tokensPerMilli, long millis) {
    double sample = millis / nominalMillis(tokens, tokensPerMilli);
    double bounded = Math.max(LEAST_FACTOR, Math.min(MOST_FACTOR, sample));
    double before = factor;
    double change = bounded > before ? QUANTILE : QUANTILE - 1;
    factor = Math.max(LEAST_FACTOR, Math.min(MOST_FACTOR, before * (1 + STEP * change)));
  }

  /** Returns the expected time until a token that tokens stand before, in milliseconds. */
  public double expectedMillis(long tokens, double tokensPerMilli) {
    return factor * nominalMillis(tokens, tokensPerMilli);
  }

  private static double nominalMillis(long tokens, double tokensPerMilli) {
    return LEAST_MILLIS + Math.max(0, tokens) / tokensPerMilli;
  }
}
