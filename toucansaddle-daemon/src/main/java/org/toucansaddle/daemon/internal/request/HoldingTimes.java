package org.toucansaddle.daemon.internal.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucansaddle.daemon.internal.sharing.PoolKey;

/** Running mean of how long requests of a class hold a slot. Thread-safe. */
public final class HoldingTimes {

  private static final double WEIGHT_OF_NEW = 0.05;

  private record Key(PoolKey pool, String workClass) {}

  private final Map<Key, Double> means = new ConcurrentHashMap<>();

  /** Records a request that ended. */
  public void observe(PoolKey pool, String workClass, long millis) {
    means.merge(
        new Key(pool, workClass),
        (double) millis,
        (mean, value) -> mean + WEIGHT_OF_NEW * (value - mean));
  }

  /** Returns the mean in milliseconds; 0 before the first request ended. */
  public double meanMillis(PoolKey pool, String workClass) {
    return means.getOrDefault(new Key(pool, workClass), 0.0);
  }
}
