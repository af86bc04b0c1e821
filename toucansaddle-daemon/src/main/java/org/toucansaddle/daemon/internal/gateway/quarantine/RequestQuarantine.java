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
 * several upstreams is refused for some time. A request that completes loses its strikes at this
 * router.
 *
 * <p>Routers and control daemons hold one each and exchange strikes: routers report all of them,
 * control daemons send those of quarantined requests to all routers. Each new strike gets the next
 * change number, so that a peer is sent what it has not received. Thread-safe.
 */
public final class RequestQuarantine {

  private static final Logger LOG = LoggerFactory.getLogger(RequestQuarantine.class);

  /** Crashed upstreams from which a request is refused; three are unlikely to be a coincidence. */
  private static final int STRIKE_LIMIT = 3;

  /** Time after which a strike expires. */
  private static final long STRIKE_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

  private static final int MAX_DIGESTS = 5_000;

  /** Strikes of one digest. */
  private static final class Entry {
    private final Map<String, Long> timesByUpstream = new LinkedHashMap<>();
    private long change;

    private void expire(long now) {
      timesByUpstream.values().removeIf(at -> now - at > STRIKE_EXPIRY_NANOS);
    }

    private boolean isAtLimit() {
      return timesByUpstream.size() >= STRIKE_LIMIT;
    }
  }

  private final LongSupplier clock;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();
  private long lastChange;
  private long lastQuarantineChange;
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
    if (entry.isAtLimit()) {
      lastQuarantineChange = lastChange;
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

  /** Removes the strikes of a request that completed. */
  public synchronized void clear(long digest) {
    if (!entries.isEmpty()) {
      entries.remove(digest);
    }
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
    return (int) entries.values().stream().filter(Entry::isAtLimit).count();
  }

  /** Returns the number of the last change; 0 before the first one. */
  public synchronized long lastChange() {
    return lastChange;
  }

  /** Returns the number of the last change of a quarantined request; 0 before the first one. */
  public synchronized long lastQuarantineChange() {
    return lastQuarantineChange;
  }

  /** Returns all strikes of the digests that changed after the given change. */
  public synchronized List<DigestStrike> strikesAfter(long change) {
    return encode(change, 0);
  }

  /** Returns all strikes of the quarantined digests that changed after the given change. */
  public synchronized List<DigestStrike> quarantinedAfter(long change) {
    return encode(change, STRIKE_LIMIT);
  }

  private List<DigestStrike> encode(long change, int minStrikes) {
    if (change >= lastChange) {
      return List.of();
    }
    long now = clock.getAsLong();
    List<DigestStrike> encoded = new ArrayList<>();
    entries.forEach(
        (digest, entry) -> {
          if (entry.change > change && entry.timesByUpstream.size() >= minStrikes) {
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
