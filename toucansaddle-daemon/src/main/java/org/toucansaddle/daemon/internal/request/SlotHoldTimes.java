package org.toucansaddle.daemon.internal.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucansaddle.daemon.internal.sharing.PoolKey;

/** Running mean and deviation of how long requests of a class hold a slot. Thread-safe. */
public final class SlotHoldTimes {

  private static final double WEIGHT_OF_NEW = 0.05;

  /**
   * How long requests hold a slot. Immutable.
   *
   * @param meanMillis mean, in milliseconds
   * @param variance variance, in square milliseconds
   */
  public record HoldTimeStats(double meanMillis, double variance) {

    /** Nothing is known yet. */
    static final HoldTimeStats UNKNOWN = new HoldTimeStats(0, 0);

    private HoldTimeStats with(double millis) {
      double difference = millis - meanMillis;
      double added = WEIGHT_OF_NEW * difference;
      return new HoldTimeStats(
          meanMillis + added, (1 - WEIGHT_OF_NEW) * (variance + added * difference));
    }

    /**
     * Returns the standard deviation of the sum of some requests' times, in milliseconds.
     *
     * <p>The mean is itself uncertain, which counts more the longer the sum.
     */
    public double standardDeviationOfSumMillis(int requests) {
      double ofMean = variance * WEIGHT_OF_NEW / (2 - WEIGHT_OF_NEW);
      return Math.sqrt(requests * variance + (double) requests * requests * ofMean);
    }
  }

  private record Key(PoolKey pool, String workClass) {}

  private final Map<Key, HoldTimeStats> byClass = new ConcurrentHashMap<>();

  /** Records a request that ended. */
  public void observe(PoolKey pool, String workClass, long millis) {
    byClass.compute(
        new Key(pool, workClass),
        (key, before) -> before == null ? new HoldTimeStats(millis, 0) : before.with(millis));
  }

  /** Returns what is known; zeros before the first request ended. */
  public HoldTimeStats stats(PoolKey pool, String workClass) {
    return byClass.getOrDefault(new Key(pool, workClass), HoldTimeStats.UNKNOWN);
  }
}
