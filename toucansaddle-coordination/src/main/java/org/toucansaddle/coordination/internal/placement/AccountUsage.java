package org.toucansaddle.coordination.internal.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.sharing.MaxMinShare;
import org.toucansaddle.coordination.sharing.SharedThroughput;
import org.toucansaddle.coordination.sharing.SharedThroughput.Load;

/**
 * Max-min fair shares of client accounts in the throughput of a pool.
 *
 * <p>Demanded and granted tokens decay exponentially. Confined to its placer's lock.
 */
final class AccountUsage {

  /** Time in which usage decays to 1/e. */
  private static final double DECAY_SECONDS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  private static final double FORGOTTEN_TOKENS = 1;
  private static final long SHARE_MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final Map<String, Usage> usages = new HashMap<>();
  private double share = Double.MAX_VALUE;
  private long shareAt;
  private final SharedThroughput throughput = new SharedThroughput();
  private boolean shareKnown;

  /** Tokens of one account, and the times for which its callers were told to come back. */
  private static final class Usage {
    private double demanded;
    private double granted;
    private double work;
    private long updatedAt;
    private long nextPlaceAt;
    private final Deque<Long> places = new ArrayDeque<>();

    void decay(long now) {
      double factor = Math.exp(-(now - updatedAt) / (NANOS_PER_SECOND * DECAY_SECONDS));
      demanded *= factor;
      granted *= factor;
      work *= factor;
      updatedAt = now;
    }
  }

  private Usage usage(String account, long now) {
    Usage usage = usages.computeIfAbsent(account, name -> new Usage());
    usage.decay(now);
    return usage;
  }

  void recordDemand(String account, long tokens, long now) {
    usage(account, now).demanded += tokens;
  }

  void recordGrant(String account, long tokens, long work, long now) {
    Usage usage = usage(account, now);
    usage.granted += tokens;
    usage.work += work;
  }

  /** Takes back a grant that was not used. */
  void recordUnused(String account, long tokens, long work, long now) {
    Usage usage = usage(account, now);
    usage.granted = Math.max(0, usage.granted - tokens);
    usage.work = Math.max(0, usage.work - work);
  }

  double grantedTokens(String account, long now) {
    return usage(account, now).granted;
  }

  /** Returns the work of what was granted lately, in tokens per second. */
  double workPerSecond(long now) {
    double work = 0;
    for (Usage usage : usages.values()) {
      usage.decay(now);
      work += usage.work;
    }
    return work / DECAY_SECONDS;
  }

  boolean isAboveShare(String account, long tokens, double tokensPerSecond, long now) {
    return tokensPerSecond > 0
        && grantedTokens(account, now) + tokens / 2.0 > share(tokensPerSecond, now);
  }

  /** Returns the fair share, in tokens within the decay time. */
  double share(double tokensPerSecond, long now) {
    if (!shareKnown || now - shareAt > SHARE_MAX_AGE_NANOS) {
      usages.values().forEach(usage -> usage.decay(now));
      usages.values().removeIf(AccountUsage::isForgotten);
      double[] demands = usages.values().stream().mapToDouble(usage -> usage.demanded).toArray();
      share = MaxMinShare.compute(demands, throughput.update(load(tokensPerSecond), now));
      shareAt = now;
      shareKnown = true;
    }
    return share;
  }

  /** Requests for which there is no slot wait by account, so that none are turned away blindly. */
  private Load load(double tokensPerSecond) {
    double granted = 0;
    double work = 0;
    for (Usage usage : usages.values()) {
      granted += usage.granted;
      work += usage.work;
    }
    return new Load(tokensPerSecond * DECAY_SECONDS, granted, work, 0);
  }

  private static boolean isForgotten(Usage usage) {
    return usage.demanded < FORGOTTEN_TOKENS && usage.places.isEmpty();
  }

  /**
   * Reserves the next place of an account whose callers are above its share.
   *
   * @param maxDelayNanos delay from which there is no place
   * @return delay until the place, in nanoseconds; -1 if there is none
   */
  long reservePlace(
      String account, long tokens, double tokensPerSecond, long maxDelayNanos, long now) {
    Usage usage = usage(account, now);
    double tokensPerNano = share(tokensPerSecond, now) / DECAY_SECONDS / NANOS_PER_SECOND;
    long interval = (long) Math.min(Long.MAX_VALUE / 4, tokens / tokensPerNano);
    long excess = (long) Math.max(0, (usage.granted - share(tokensPerSecond, now)) / tokensPerNano);
    long placeAt = Math.max(usage.nextPlaceAt, now + Math.min(excess, maxDelayNanos)) + interval;
    if (placeAt - now > maxDelayNanos) {
      return -1;
    }
    usage.nextPlaceAt = placeAt;
    usage.places.addLast(placeAt);
    return placeAt - now;
  }

  /**
   * Takes the earliest place of an account.
   *
   * @param maxAgeNanos time after which a place that was not taken is lost
   * @return whether there was one
   */
  boolean takePlace(String account, long maxAgeNanos, long now) {
    Deque<Long> places = usage(account, now).places;
    while (!places.isEmpty() && now - places.peekFirst() > maxAgeNanos) {
      places.removeFirst();
    }
    return places.pollFirst() != null;
  }
}
