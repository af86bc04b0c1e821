package org.toucansaddle.daemon.internal.gateway.relay;

/**
 * Estimates the time until the first token of a response for the engines of one service.
 *
 * <p>The estimate is the time to prefill all pending tokens at the nominal speed, multiplied by a
 * factor. The factor is a moving average of observed times, so it includes the other work of the
 * engines. Thread-safe; a lost concurrent update costs one sample.
 */
public final class FirstTokenEstimator {

  /** Time until the first token without any prefill. */
  private static final double BASE_MILLIS = 20;

  /** Weight of one sample in the moving average. */
  private static final double SAMPLE_WEIGHT = 0.05;

  private static final double MIN_FACTOR = 0.2;
  private static final double MAX_FACTOR = 8;

  private volatile double factor = 1;

  /**
   * Adds a sample.
   *
   * @param tokens tokens to prefill before the first token of the response
   * @param nominalTokensPerMilli nominal prefill speed, in tokens per millisecond
   * @param millis observed time until the first token, in milliseconds
   * @param lagMillis part of it in which the router was late to read the token, in milliseconds
   */
  public void addSample(long tokens, double nominalTokensPerMilli, long millis, double lagMillis) {
    double engineMillis = Math.max(0, millis - lagMillis);
    double sample = engineMillis / nominalMillis(tokens, nominalTokensPerMilli);
    double bounded = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, sample));
    double previous = factor;
    factor = previous + SAMPLE_WEIGHT * (bounded - previous);
  }

  /** Returns the expected time until the first token after a prefill, in milliseconds. */
  public double estimateMillis(long tokens, double nominalTokensPerMilli) {
    return factor * nominalMillis(tokens, nominalTokensPerMilli);
  }

  private static double nominalMillis(long tokens, double nominalTokensPerMilli) {
    return BASE_MILLIS + Math.max(0, tokens) / nominalTokensPerMilli;
  }
}
