package org.toucansaddle.daemon.internal.gateway.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.protocol.generated.DigestStrike;

/**
 * Quarantines requests that crash upstreams, by content digest and across all routers.
 *
 * <p>A strike is an upstream that crashed while it ran a request. A request with strikes from
 * several upstreams is refused for some time. A request that succeeds loses its strikes at all
 * daemons.
 *
 * <p>Routers and control daemons hold one each and exchange strikes and successes: routers report
 * all of them, control daemons send those of requests near the limit to all routers. Each new
 * strike or success gets the next change number, so that a peer is sent what it has not received.
 * Thread-safe.
 */
public final class RequestQuarantine {

  private static final Logger LOG = LoggerFactory.getLogger(RequestQuarantine.class);

  /** Crashed upstreams from which a request is refused; three are unlikely to be a coincidence. */
  private static final int STRIKE_LIMIT = 3;

  /** Strikes from which all routers know them, to notice when the request succeeds. */
  private static final int SPREAD_LIMIT = 2;

  /** Time after which a strike expires. */
  private static final long STRIKE_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

  private static final int MAX_DIGESTS = 5_000;
  private static final int MAX_SUCCESSES = 1_000;

  /** Strikes of one digest. */
  private static final class Entry {
    private final Map<String, Long> timesByUpstream = new LinkedHashMap<>();
    private long change;

    private void expire(long now) {
      timesByUpstream.values().removeIf(at -> now - at > STRIKE_EXPIRY_NANOS);
    }

    private boolean hasStrikes(int count) {
      return timesByUpstream.size() >= count;
    }
  }

  private final LongSupplier clock;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  /** Change number of each digest whose strikes were cleared, oldest first. */
  private final Map<Long, Long> successes =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_SUCCESSES;
        }
      };

  private long lastChange;
  private long lastSpreadChange;
  private volatile Runnable strikeListener = () -> {};

  /** Creates an empty quarantine; {@code clock} returns nanoseconds. */
  public RequestQuarantine(LongSupplier clock) {
    this.clock = clock;
  }

  /** Sets an action that runs after each strike that this daemon recorded itself. */
  public void onStrike(Runnable listener) {
    strikeListener = listener;
  }

  /** Records that an upstream broke its connection while it ran a request. */
  public void recordStrike(long digest, String upstream) {
    if (merge(List.of(strike(digest, upstream, 0)))) {
      strikeListener.run();
    }
  }

  /**
   * Adds strikes that other daemons reported.
   *
   * @return whether at least one of them was unknown
   */
  public synchronized boolean merge(List<DigestStrike> strikes) {
    boolean anyAdded = false;
    for (DigestStrike strike : strikes) {
      anyAdded |= add(strike);
    }
    return anyAdded;
  }

  private boolean add(DigestStrike strike) {
    long now = clock.getAsLong();
    long struckAt = now - TimeUnit.MILLISECONDS.toNanos(strike.getAgeMillis());
    evictExpired(now);
    Entry entry = entries.get(strike.getDigest());
    if (entry == null && entries.size() < MAX_DIGESTS) {
      entry = new Entry();
      entries.put(strike.getDigest(), entry);
    }
    boolean expired = now - struckAt > STRIKE_EXPIRY_NANOS;
    if (entry == null || expired || entry.timesByUpstream.containsKey(strike.getUpstream())) {
      return false;
    }
    entry.timesByUpstream.put(strike.getUpstream(), struckAt);
    entry.change = ++lastChange;
    if (entry.hasStrikes(SPREAD_LIMIT)) {
      lastSpreadChange = lastChange;
    }
    if (entry.hasStrikes(STRIKE_LIMIT)) {
      LOG.info(
          "quarantine digest={} upstreams={}",
          Long.toHexString(strike.getDigest()),
          entry.timesByUpstream.keySet());
    }
    return true;
  }

  private void evictExpired(long now) {
    entries.values().forEach(entry -> entry.expire(now));
    entries.values().removeIf(entry -> entry.timesByUpstream.isEmpty());
  }

  /** Clears the strikes of a request that succeeded; other daemons clear them as well. */
  public synchronized void recordSuccess(long digest) {
    if (!entries.isEmpty() && entries.remove(digest) != null) {
      successes.remove(digest);
      successes.put(digest, ++lastChange);
    }
  }

  /** Clears the strikes of requests whose success another daemon reported. */
  public void mergeSuccesses(List<Long> digests) {
    digests.forEach(this::recordSuccess);
  }

  /** Returns whether a request is to be refused. */
  public synchronized boolean isQuarantined(long digest) {
    return strikeCount(digest) >= STRIKE_LIMIT;
  }

  /** Returns the number of upstreams known to have crashed while they ran a request. */
  public synchronized int strikeCount(long digest) {
    Entry entry = entries.get(digest);
    if (entry == null) {
      return 0;
    }
    entry.expire(clock.getAsLong());
    return entry.timesByUpstream.size();
  }

  /** Returns the number of digests that are refused. */
  public synchronized int quarantinedCount() {
    evictExpired(clock.getAsLong());
    return (int) entries.values().stream().filter(entry -> entry.hasStrikes(STRIKE_LIMIT)).count();
  }

  /** Returns the number of the last change; 0 before the first one. */
  public synchronized long lastChange() {
    return lastChange;
  }

  /** Returns the number of the last strike that all routers are to know; 0 before the first one. */
  public synchronized long lastSpreadChange() {
    return lastSpreadChange;
  }

  /** Returns all strikes of the digests that changed after the given change. */
  public synchronized List<DigestStrike> strikesAfter(long change) {
    return encode(change, 0);
  }

  /** Returns those of {@link #strikesAfter} that all routers are to know. */
  public synchronized List<DigestStrike> spreadStrikesAfter(long change) {
    return encode(change, SPREAD_LIMIT);
  }

  /** Returns the digests whose strikes were cleared after the given change. */
  public synchronized List<Long> successesAfter(long change) {
    if (change >= lastChange) {
      return List.of();
    }
    return successes.entrySet().stream()
        .filter(success -> success.getValue() > change)
        .map(Map.Entry::getKey)
        .toList();
  }

  private List<DigestStrike> encode(long change, int minStrikes) {
    if (change >= lastChange) {
      return List.of();
    }
    long now = clock.getAsLong();
    List<DigestStrike> encoded = new ArrayList<>();
    entries.forEach(
        (digest, entry) -> {
          if (entry.change > change && entry.hasStrikes(minStrikes)) {
            entry.timesByUpstream.forEach(
                (upstream, struckAt) -> encoded.add(strike(digest, upstream, now - struckAt)));
          }
        });
    return encoded;
  }

  private static DigestStrike strike(long digest, String upstream, long ageNanos) {
    return DigestStrike.newBuilder()
        .setDigest(digest)
        .setUpstream(upstream)
        .setAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(ageNanos))
        .build();
  }
}
