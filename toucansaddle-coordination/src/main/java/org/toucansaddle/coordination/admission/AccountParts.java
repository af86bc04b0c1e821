package org.toucansaddle.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.DoubleStream;
import org.toucansaddle.coordination.sharing.MaxMinShare;

/**
 * Divides what is admitted of all requests among the accounts that send them: each gets its max-min
 * share by its recent requests.
 *
 * <pre>{@code
 * parts.record(account);
 * boolean admits = random < parts.partOf(account, 0.7);
 * }</pre>
 *
 * <p>Accounts without recent requests are forgotten. Thread-safe; does no I/O.
 */
public final class AccountParts {

  /** Time in which the requests of an account decay to 1/e. */
  private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Interval in which accounts without requests are dropped. */
  private static final long CLEANUP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Requests below which an account is dropped. */
  private static final double FORGOTTEN_REQUESTS = 0.01;

  private final LongSupplier clock;
  private final Map<String, Demand> demands = new HashMap<>();
  private long cleanedAt;

  /** Creates an object without accounts; {@code clock} returns nanoseconds. */
  public AccountParts(LongSupplier clock) {
    this.clock = clock;
    this.cleanedAt = clock.getAsLong();
  }

  /** Recent requests of one account; they decay over time. */
  private static final class Demand {
    private double requests;
    private long updatedAt;

    void decay(long now) {
      requests *= Math.exp(-(now - updatedAt) / DECAY_NANOS);
      updatedAt = now;
    }
  }

  /** Records a request of an account, whether or not it is admitted. */
  public synchronized void record(String account) {
    long now = clock.getAsLong();
    if (now - cleanedAt >= CLEANUP_NANOS) {
      cleanedAt = now;
      demands.values().forEach(demand -> demand.decay(now));
      demands.values().removeIf(demand -> demand.requests < FORGOTTEN_REQUESTS);
    }
    Demand demand = demands.computeIfAbsent(account, name -> new Demand());
    demand.decay(now);
    demand.requests++;
  }

  /**
   * Returns the part of an account's requests to admit.
   *
   * @param admitted part of all requests to admit, from 0 to 1
   */
  public synchronized double partOf(String account, double admitted) {
    long now = clock.getAsLong();
    Demand demand = demands.get(account);
    if (admitted >= 1 || demand == null) {
      return 1;
    }
    demands.values().forEach(other -> other.decay(now));
    double[] requests = demands.values().stream().mapToDouble(other -> other.requests).toArray();
    double share = MaxMinShare.compute(requests, admitted * DoubleStream.of(requests).sum());
    return demand.requests > share ? share / demand.requests : 1;
  }
}
