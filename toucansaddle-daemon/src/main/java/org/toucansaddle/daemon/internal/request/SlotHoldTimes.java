package org.toucansaddle.daemon.internal.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucansaddle.daemon.internal.sharing.PoolKey;

/**
 * Exponentially weighted mean and variance of how long requests hold a slot, by pool and work
 * class.
 *
 * <p>Thread-safe.
 */
public final class SlotHoldTimes {

  /** Weight of a new sample in the mean and the variance. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /**
   * Mean and variance of how long requests hold a slot. Immutable.
   *
   * @param meanMillis mean, in milliseconds
   * @param variance variance, in square milliseconds
   */
  public record HoldTimeStats(double meanMillis, double variance) {

    /** Value before the first sample. */
    static final HoldTimeStats NO_SAMPLES = new HoldTimeStats(0, 0);

    private HoldTimeStats withSample(double millis) {
      double difference = millis - meanMillis;
      double increment = SMOOTHING_FACTOR * difference;
      return new HoldTimeStats(
          meanMillis + increment, (1 - SMOOTHING_FACTOR) * (variance + increment * difference));
    }

    /**
     * Returns the standard deviation of the total hold time of some requests, in milliseconds.
     *
     * <p>It includes the uncertainty of the estimated mean, whose variance counts with the square
     * of the number of requests.
     */
    public double standardDeviationOfSumMillis(int requests) {
      double varianceOfMean = variance * SMOOTHING_FACTOR / (2 - SMOOTHING_FACTOR);
      return Math.sqrt(requests * variance + (double) requests * requests * varianceOfMean);
    }
  }

  private record Key(PoolKey pool, String workClass) {}

  private final Map<Key, HoldTimeStats> statsByClass = new ConcurrentHashMap<>();

  /** Adds the hold time of a request that ended. */
  public void observe(PoolKey pool, String workClass, long millis) {
    statsByClass.compute(
        new Key(pool, workClass),
        (key, previous) ->
            previous == null ? new HoldTimeStats(millis, 0) : previous.withSample(millis));
  }

  /** Returns the mean and variance of a work class; zeros before its first request has ended. */
  public HoldTimeStats stats(PoolKey pool, String workClass) {
    return statsByClass.getOrDefault(new Key(pool, workClass), HoldTimeStats.NO_SAMPLES);
  }
}
