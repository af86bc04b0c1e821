package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucansaddle.protocol.generated.DigestStrike;

/**
 * Which upstreams died of which requests, by content digest, at all routers.
 *
 * <p>A request that several upstreams died of is refused for a while; one that ran to its end is
 * cleared here. Thread-safe.
 */
public final class RequestQuarantine {

  /** Upstreams that may die of one request: bad luck does not strike three times in a row. */
  private static final int LIMIT = 3;

  /** Time after the last death for which a request is refused. */
  private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Time for which own strikes are told again, so that a lost report loses none. */
  private static final long TOLD_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final int MAX_DIGESTS = 5_000;

  private final LongSupplier clock;
  private final Map<Long, Map<String, Long>> upstreams = new HashMap<>();
  private final Map<DigestStrike, Long> own = new HashMap<>();

  /** Creates an empty record; {@code clock} gives nanoseconds. */
  public RequestQuarantine(LongSupplier clock) {
    this.clock = clock;
  }

  /** Notes that an upstream broke its connection while it had a request. */
  public synchronized void recordStrike(long digest, String upstream) {
    DigestStrike strike = DigestStrike.newBuilder().setDigest(digest).setUpstream(upstream).build();
    own.put(strike, clock.getAsLong());
    add(strike);
  }

  /** Takes what other routers saw. */
  public synchronized void merge(List<DigestStrike> strikes) {
    strikes.forEach(this::add);
  }

  private void add(DigestStrike strike) {
    long now = clock.getAsLong();
    upstreams.values().forEach(by -> by.values().removeIf(at -> now - at > KEPT_NANOS));
    upstreams.values().removeIf(Map::isEmpty);
    if (upstreams.size() < MAX_DIGESTS) {
      upstreams
          .computeIfAbsent(strike.getDigest(), digest -> new HashMap<>())
          .put(strike.getUpstream(), now);
    }
  }

  /** Forgets the strikes of a request that ran to its end. */
  public synchronized void clear(long digest) {
    if (!upstreams.isEmpty()) {
      upstreams.remove(digest);
    }
  }

  /** Returns whether a request is refused. */
  public synchronized boolean isQuarantined(long digest) {
    Map<String, Long> by = upstreams.get(digest);
    if (by == null) {
      return false;
    }
    long now = clock.getAsLong();
    by.values().removeIf(at -> now - at > KEPT_NANOS);
    return by.size() >= LIMIT;
  }

  /** Returns own strikes that other routers may not know yet. */
  public synchronized List<DigestStrike> strikesToReport() {
    long now = clock.getAsLong();
    own.values().removeIf(at -> now - at > TOLD_NANOS);
    return new ArrayList<>(own.keySet());
  }
}
