package org.toucansaddle.coordination.sharing;

import java.util.concurrent.TimeUnit;

/**
 * The throughput of a pool that its accounts share.
 *
 * <pre>{@code
 * double tokens = throughput.update(load, System.nanoTime());
 * double share = MaxMinShare.compute(demands, tokens);
 * }</pre>
 *
 * <p>The rated throughput is what upstreams compute at most. Their slots or memory may be used up
 * before, so that they carry less; requests are then turned away whatever their account. While the
 * pool turns away more than a small part, accounts share what it has lately carried at most: it
 * carries less than it can while the shares are too small. Otherwise the shared throughput grows,
 * at first back to the rated one and then, while the pool does less than the rated work, beyond it.
 * Not thread-safe.
 */
public final class SharedThroughput {

  /** Largest factor by which the rated throughput is exceeded while the work stays below it. */
  private static final double MAX_FACTOR = 1.5;

  private static final double MIN_FACTOR = 0.02;

  /** Change of the factor in a step; small, so that all accounts get about the same. */
  private static final double STEP = 0.01;

  /** Growth in a step below the rated throughput, where too much is noticed by what is refused. */
  private static final double RECOVERY = 1.05;

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Part of what the accounts may use that is turned away before the pool counts as full. */
  private static final double MAX_TURNED_AWAY = 0.1;

  /** What accounts share of a full pool, as a multiple of what it carries. */
  private static final double FULL_POOL_MARGIN = 1.1;

  /** Bound on admitted tokens per token of work; the ratio is unreliable at the start. */
  private static final double MAX_TOKENS_PER_WORK_TOKEN = 3;

  /** Time in which it is forgotten to 1/e what the pool has carried. */
  private static final double CAPACITY_DECAY_NANOS = TimeUnit.SECONDS.toNanos(4);

  private double factor = 1;
  private double capacity;
  private long steppedAt;

  /**
   * Tokens of all accounts. Immutable.
   *
   * @param rated work that the upstreams are rated for in the time that the shares cover
   * @param admitted tokens of the requests admitted in that time
   * @param work work of the upstreams for the admitted requests; cached tokens need none
   * @param turnedAway tokens that would have been refused for want of room in that time at the rate
   *     of the last moments; those refused for their account's share are not among them
   */
  public record Load(double rated, double admitted, double work, double turnedAway) {

    private double tokensPerWorkToken() {
      return work <= 0 ? 1 : Math.max(1, Math.min(MAX_TOKENS_PER_WORK_TOKEN, admitted / work));
    }

    /** Lost requests are not charged to their accounts, but used the pool. */
    private double carried() {
      return Math.max(admitted, work);
    }

    private boolean isPoolFull() {
      return turnedAway > MAX_TURNED_AWAY * (carried() + turnedAway);
    }
  }

  /** Returns a copy that changes independently. */
  public SharedThroughput copy() {
    SharedThroughput copy = new SharedThroughput();
    copy.factor = factor;
    copy.capacity = capacity;
    copy.steppedAt = steppedAt;
    return copy;
  }

  /** Returns the tokens that the accounts share in the time of the load. */
  public double update(Load load, long nowNanos) {
    double ratedTokens = load.rated() * load.tokensPerWorkToken();
    if (nowNanos - steppedAt >= STEP_NANOS) {
      double kept = Math.exp(-(nowNanos - steppedAt) / CAPACITY_DECAY_NANOS);
      capacity = Math.max(load.carried(), capacity * kept);
      steppedAt = nowNanos;
      factor = nextFactor(load, ratedTokens);
    }
    return ratedTokens * factor;
  }

  private double nextFactor(Load load, double ratedTokens) {
    if (load.isPoolFull()) {
      double carried = FULL_POOL_MARGIN * capacity / ratedTokens;
      return Math.max(MIN_FACTOR, Math.min(factor, carried));
    }
    if (factor < 1) {
      return Math.min(1, factor * RECOVERY);
    }
    double next = load.work() < load.rated() ? factor + STEP : factor - 2 * STEP;
    return Math.max(1, Math.min(MAX_FACTOR, next));
  }

  /** Returns whether the accounts share less than the rated throughput. */
  public boolean isLimited() {
    return factor < 1;
  }
}
