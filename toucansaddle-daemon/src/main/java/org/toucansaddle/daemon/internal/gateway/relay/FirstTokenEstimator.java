package org.toucansaddle.daemon.internal.gateway.relay;

import org.toucansaddle.coordination.upstream.SpeedEstimate;

/**
 * Estimates the time until the first token of a response for the engines of one service.
 *
 * <p>The estimate is the time to prefill all pending tokens at the nominal speed, multiplied by a
 * factor. The factor is the moving average of observed times divided by that of the nominal ones,
 * so it includes the other work of the engines, and short prompts that waited have little weight.
 * Thread-safe; a lost concurrent update costs one sample.
 */
public final class FirstTokenEstimator {

  /** Time until the first token without any prefill. */
  private static final double BASE_MILLIS = 20;

  /** Weight of one sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** Nominal time that the averages begin with. */
  private static final double INITIAL_MILLIS = 50;

  private static final double MIN_FACTOR = 0.2;

  private volatile Averages averages = new Averages(INITIAL_MILLIS, INITIAL_MILLIS);

  /** Moving averages of times, in milliseconds. Immutable. */
  private record Averages(double observed, double nominal) {

    Averages with(double observedMillis, double nominalMillis) {
      return new Averages(
          observed + SAMPLE_WEIGHT * (observedMillis - observed),
          nominal + SAMPLE_WEIGHT * (nominalMillis - nominal));
    }
  }

  /**
   * Adds a sample.
   *
   * @param tokens tokens to prefill before the first token of the response
   * @param nominalTokensPerMilli nominal prefill speed, in tokens per millisecond
   * @param millis observed time until the first token, in milliseconds
   * @param lagMillis part of it in which the router was late to read the token, in milliseconds
   */
  public void addSample(long tokens, double nominalTokensPerMilli, long millis, double lagMillis) {
    double nominal = nominalMillis(tokens, nominalTokensPerMilli);
    double bounded = SpeedEstimate.bounded(millis - lagMillis, nominal);
    averages = averages.with(Math.max(MIN_FACTOR * nominal, bounded), nominal);
  }

  /** Returns the time until the first token as a multiple of the nominal time. */
  public double factor() {
    Averages current = averages;
    return current.observed() / current.nominal();
  }

  /** Returns the expected time until the first token after a prefill, in milliseconds. */
  public double estimateMillis(long tokens, double nominalTokensPerMilli) {
    return factor() * nominalMillis(tokens, nominalTokensPerMilli);
  }

  /** Returns the time until the first token after a prefill at the nominal speed. */
  static double nominalMillis(long tokens, double nominalTokensPerMilli) {
    return BASE_MILLIS + Math.max(0, tokens) / nominalTokensPerMilli;
  }
}
