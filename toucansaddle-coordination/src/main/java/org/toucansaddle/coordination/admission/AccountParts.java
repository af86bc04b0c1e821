package org.toucansaddle.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.DoubleStream;
import org.toucansaddle.coordination.sharing.MaxMinShare;

/**
 * Divides what is admitted of all requests among the accounts that send them: each gets its max-min
 * share by its recent requests, and by those at its present rate once they have clearly become
 * fewer.
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

  /** Time in which the requests that tell the present rate decay to 1/e. */
  private static final double RATE_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Recent requests of an account per request that tells its present rate, at an even rate. */
  private static final double WINDOW_PER_RATE = DECAY_NANOS / RATE_DECAY_NANOS;

  /** Interval in which accounts without requests are dropped. */
  private static final long CLEANUP_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Requests below which an account is dropped. */
  private static final double FORGOTTEN_REQUESTS = 0.01;

  /** Time for which a share is used again, so that not each request has to look at all accounts. */
  private static final long SHARE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Change of the part to admit, and new requests per recent one, up to which it is used again. */
  private static final double SHARE_TOLERANCE = 0.02;

  private final LongSupplier clock;
  private final Map<String, Demand> demands = new HashMap<>();
  private long cleanedAt;
  private Optional<Share> latestShare = Optional.empty();
  private int requestsSinceShare;

  /** Creates an object without accounts; {@code clock} returns nanoseconds. */
  public AccountParts(LongSupplier clock) {
    this.clock = clock;
    this.cleanedAt = clock.getAsLong();
  }

  /**
   * Requests that each account may have admitted. Immutable.
   *
   * @param requests requests of one account
   * @param admitted part of all requests to admit
   * @param all recent requests of all accounts
   * @param computedAt time in nanoseconds
   */
  private record Share(double requests, double admitted, double all, long computedAt) {

    boolean isValid(double newAdmitted, int newRequests, long now) {
      return now - computedAt < SHARE_NANOS
          && Math.abs(newAdmitted - admitted) <= SHARE_TOLERANCE
          && newRequests <= SHARE_TOLERANCE * all;
    }
  }

  /** Recent requests of one account; they decay over time. */
  private static final class Demand {
    private double requests;
    private double rateRequests;
    private long updatedAt;

    Demand copy() {
      Demand copy = new Demand();
      copy.requests = requests;
      copy.rateRequests = rateRequests;
      copy.updatedAt = updatedAt;
      return copy;
    }

    void decay(long now) {
      double factor = Math.exp(-(now - updatedAt) / DECAY_NANOS);
      requests *= factor;
      rateRequests *= Math.pow(factor, WINDOW_PER_RATE);
      updatedAt = now;
    }

    void add() {
      requests++;
      rateRequests++;
    }

    /**
     * Returns the recent requests, or those at the present rate if they are fewer by more than they
     * vary at random: the rate of an account with few requests says nothing.
     */
    double atPresent() {
      double fewer = requests - WINDOW_PER_RATE * rateRequests;
      if (fewer <= 0) {
        return requests;
      }
      double standardDeviation = Math.sqrt(WINDOW_PER_RATE / 2 * requests);
      return requests - fewer * Math.max(0, Math.min(1, fewer / standardDeviation - 1));
    }
  }

  /** Returns a copy that changes independently. */
  public synchronized AccountParts copy() {
    AccountParts copy = new AccountParts(clock);
    demands.forEach((account, demand) -> copy.demands.put(account, demand.copy()));
    copy.cleanedAt = cleanedAt;
    copy.latestShare = latestShare;
    copy.requestsSinceShare = requestsSinceShare;
    return copy;
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
    demand.add();
    requestsSinceShare++;
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
    demand.decay(now);
    double share = share(admitted, now).requests();
    double requests = demand.atPresent();
    return requests > share ? share / requests : 1;
  }

  private Share share(double admitted, long now) {
    Share share =
        latestShare
            .filter(latest -> latest.isValid(admitted, requestsSinceShare, now))
            .orElseGet(() -> computeShare(admitted, now));
    latestShare = Optional.of(share);
    return share;
  }

  private Share computeShare(double admitted, long now) {
    demands.values().forEach(demand -> demand.decay(now));
    double[] requests = demands.values().stream().mapToDouble(Demand::atPresent).toArray();
    double all = DoubleStream.of(requests).sum();
    requestsSinceShare = 0;
    return new Share(MaxMinShare.compute(requests, admitted * all), admitted, all, now);
  }
}
