package org.toucansaddle.coordination.retry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requests, by content digest, that were running when an upstream died.
 *
 * <p>A request that runs to its end loses its strikes. At the limit it is refused until the
 * quarantine ends. Tables of several routers are merged by the higher count. Thread-safe.
 */
public final class StrikeTable {

  private static final int MAX_ENTRIES = 10_000;

  /**
   * Strikes of one digest.
   *
   * @param digest content digest
   * @param count number of strikes
   * @param atMillis time of the last strike, in milliseconds
   */
  public record Strikes(long digest, int count, long atMillis) {}

  private final int limit;
  private final long quarantineMillis;
  private final Map<Long, Strikes> byDigest = new ConcurrentHashMap<>();

  /**
   * Creates an empty table.
   *
   * @param limit strikes at which a request is refused
   * @param quarantineMillis time after the last strike for which it is refused, in milliseconds
   */
  public StrikeTable(int limit, long quarantineMillis) {
    this.limit = limit;
    this.quarantineMillis = quarantineMillis;
  }

  /** Adds a strike and returns the count. */
  public int recordStrike(long digest, long nowMillis) {
    Strikes after =
        byDigest.merge(
            digest,
            new Strikes(digest, 1, nowMillis),
            (before, one) -> new Strikes(digest, before.count() + 1, nowMillis));
    evictExpired(nowMillis);
    return after.count();
  }

  /** Forgets the strikes of a request that ran to its end. */
  public void clear(long digest) {
    byDigest.remove(digest);
  }

  /** Returns the strikes of a digest, if it has any. */
  public Optional<Strikes> find(long digest) {
    return Optional.ofNullable(byDigest.get(digest));
  }

  /** Returns the number of strikes. */
  public int count(long digest) {
    Strikes strikes = byDigest.get(digest);
    return strikes == null ? 0 : strikes.count();
  }

  /** Returns for how long a request is refused, in milliseconds; 0 if it is not refused. */
  public long refusedForMillis(long digest, long nowMillis) {
    Strikes strikes = byDigest.get(digest);
    if (strikes == null || strikes.count() < limit) {
      return 0;
    }
    return Math.max(0, strikes.atMillis() + quarantineMillis - nowMillis);
  }

  /** Takes strikes that another router counted. */
  public void merge(long digest, int count, long atMillis, long nowMillis) {
    byDigest.merge(
        digest,
        new Strikes(digest, count, atMillis),
        (mine, other) -> other.count() > mine.count() ? other : mine);
    evictExpired(nowMillis);
  }

  /** Returns the newest strikes, at most {@code max}. */
  public List<Strikes> newest(int max, long nowMillis) {
    evictExpired(nowMillis);
    return byDigest.values().stream()
        .sorted(Comparator.comparingLong(Strikes::atMillis).reversed())
        .limit(max)
        .toList();
  }

  private void evictExpired(long nowMillis) {
    byDigest.values().removeIf(s -> nowMillis - s.atMillis() > quarantineMillis);
    if (byDigest.size() > MAX_ENTRIES) {
      byDigest.values().stream()
          .sorted(Comparator.comparingLong(Strikes::atMillis))
          .limit(byDigest.size() - MAX_ENTRIES)
          .forEach(oldest -> byDigest.remove(oldest.digest()));
    }
  }
}
