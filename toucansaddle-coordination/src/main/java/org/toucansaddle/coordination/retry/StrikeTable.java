package org.toucansaddle.coordination.retry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Strikes against requests, by content digest: one for each upstream that failed while running it.
 *
 * <p>The strikes of a request are cleared when it completes. A request at the limit is refused
 * until its quarantine ends. Each strike has a random id, so that strikes of several routers add up
 * and one that is reported repeatedly counts once. Thread-safe.
 */
public final class StrikeTable {

  private static final int MAX_ENTRIES = 10_000;

  /** Ids kept of one digest; above any useful limit. */
  private static final int MAX_IDS = 32;

  /**
   * Strikes of one digest. Immutable.
   *
   * @param digest content digest
   * @param count number of strikes; higher than the number of ids if a router reported no ids
   * @param atMillis time of the last strike, in milliseconds
   * @param ids random ids of the strikes
   */
  public record Strikes(long digest, int count, long atMillis, Set<Long> ids) {

    /** Copies the ids. */
    public Strikes {
      ids = Set.copyOf(ids);
    }

    /**
     * Returns the strikes of both. The time of these changes with a new strike only, since reports
     * that go back and forth look younger each time.
     */
    Strikes union(Strikes reported) {
      Set<Long> union =
          Stream.concat(ids.stream(), reported.ids.stream())
              .distinct()
              .limit(MAX_IDS)
              .collect(Collectors.toSet());
      int total = Math.max(Math.max(count, reported.count), union.size());
      boolean hasNew = total > count || union.size() > ids.size();
      long last = hasNew ? Math.max(atMillis, reported.atMillis) : atMillis;
      return new Strikes(digest, total, last, union);
    }
  }

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
    Strikes first =
        new Strikes(digest, 1, nowMillis, Set.of(ThreadLocalRandom.current().nextLong()));
    Strikes updated = byDigest.merge(digest, first, StrikeTable::addOne);
    evictExpired(nowMillis);
    return updated.count();
  }

  private static Strikes addOne(Strikes existing, Strikes added) {
    Strikes union = existing.union(added);
    int count = Math.max(existing.count() + 1, union.count());
    return new Strikes(union.digest(), count, union.atMillis(), union.ids());
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

  /** Adds the strikes that another router reported. */
  public void merge(Strikes reported, long nowMillis) {
    byDigest.merge(reported.digest(), reported, Strikes::union);
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
