package org.toucansaddle.coordination.retry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Strikes against requests, by content digest: one for each upstream that failed while running it.
 *
 * <p>The strikes of a request are cleared when it completes. A request at the limit is refused
 * until its quarantine ends. Tables of several routers are merged by the higher count. Thread-safe.
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
   * @param quarantineMillis time after the last strike during which the request is refused, in
   *     milliseconds
   */
  public StrikeTable(int limit, long quarantineMillis) {
    this.limit = limit;
    this.quarantineMillis = quarantineMillis;
  }

  /** Records a strike and returns the new count. */
  public int recordStrike(long digest, long nowMillis) {
    Strikes updated =
        byDigest.merge(
            digest,
            new Strikes(digest, 1, nowMillis),
            (existing, added) -> new Strikes(digest, existing.count() + 1, nowMillis));
    evictExpired(nowMillis);
    return updated.count();
  }

  /** Clears the strikes of a request that completed. */
  public void clear(long digest) {
    byDigest.remove(digest);
  }

  /** Returns the strikes of a digest, if any. */
  public Optional<Strikes> find(long digest) {
    return Optional.ofNullable(byDigest.get(digest));
  }

  /** Returns the number of strikes of a digest. */
  public int count(long digest) {
    Strikes strikes = byDigest.get(digest);
    return strikes == null ? 0 : strikes.count();
  }

  /** Returns the remaining quarantine in milliseconds, or 0 if the request is not refused. */
  public long refusedForMillis(long digest, long nowMillis) {
    Strikes strikes = byDigest.get(digest);
    if (strikes == null || strikes.count() < limit) {
      return 0;
    }
    return Math.max(0, strikes.atMillis() + quarantineMillis - nowMillis);
  }

  /** Merges the strikes counted by another router; the higher count is kept. */
  public void merge(long digest, int count, long atMillis, long nowMillis) {
    byDigest.merge(
        digest,
        new Strikes(digest, count, atMillis),
        (existing, received) -> received.count() > existing.count() ? received : existing);
    evictExpired(nowMillis);
  }

  /** Returns at most {@code max} strikes, most recent first. */
  public List<Strikes> newest(int max, long nowMillis) {
    evictExpired(nowMillis);
    return byDigest.values().stream()
        .sorted(Comparator.comparingLong(Strikes::atMillis).reversed())
        .limit(max)
        .toList();
  }

  private void evictExpired(long nowMillis) {
    byDigest.values().removeIf(strikes -> nowMillis - strikes.atMillis() > quarantineMillis);
    if (byDigest.size() > MAX_ENTRIES) {
      byDigest.values().stream()
          .sorted(Comparator.comparingLong(Strikes::atMillis))
          .limit(byDigest.size() - MAX_ENTRIES)
          .forEach(oldest -> byDigest.remove(oldest.digest()));
    }
  }
}
