package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucansaddle.protocol.generated.DigestStrike;

/**
 * Quarantines requests that crash upstreams, by content digest and across all routers.
 *
 * <p>A strike is an upstream that crashed while it ran a request. A request with strikes from
 * several upstreams is refused for some time. A request that completes loses its strikes at this
 * router. Thread-safe.
 */
public final class RequestQuarantine {

  /** Crashed upstreams from which a request is refused; three are unlikely to be a coincidence. */
  private static final int STRIKE_LIMIT = 3;

  /** Time after which a strike expires. */
  private static final long STRIKE_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Time for which local strikes are reported repeatedly, so that a lost report loses none. */
  private static final long STRIKE_REPORT_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final int MAX_DIGESTS = 5_000;

  private final LongSupplier clock;
  private final Map<Long, Map<String, Long>> strikeTimes = new HashMap<>();
  private final Map<DigestStrike, Long> localStrikes = new HashMap<>();

  /** Creates an empty quarantine; {@code clock} returns nanoseconds. */
  public RequestQuarantine(LongSupplier clock) {
    this.clock = clock;
  }

  /** Records that an upstream broke its connection while it ran a request. */
  public synchronized void recordStrike(long digest, String upstream) {
    DigestStrike strike = DigestStrike.newBuilder().setDigest(digest).setUpstream(upstream).build();
    localStrikes.put(strike, clock.getAsLong());
    add(strike);
  }

  /** Adds strikes that other routers reported. */
  public synchronized void merge(List<DigestStrike> strikes) {
    strikes.forEach(this::add);
  }

  private void add(DigestStrike strike) {
    long now = clock.getAsLong();
    strikeTimes
        .values()
        .forEach(times -> times.values().removeIf(at -> now - at > STRIKE_EXPIRY_NANOS));
    strikeTimes.values().removeIf(Map::isEmpty);
    if (strikeTimes.size() < MAX_DIGESTS) {
      strikeTimes
          .computeIfAbsent(strike.getDigest(), digest -> new HashMap<>())
          .put(strike.getUpstream(), now);
    }
  }

  /** Removes the strikes of a request that completed. */
  public synchronized void clear(long digest) {
    if (!strikeTimes.isEmpty()) {
      strikeTimes.remove(digest);
    }
  }

  /** Returns whether a request is to be refused. */
  public synchronized boolean isQuarantined(long digest) {
    return strikeCount(digest) >= STRIKE_LIMIT;
  }

  /** Returns the number of upstreams known to have crashed while they ran a request. */
  public synchronized int strikeCount(long digest) {
    Map<String, Long> times = strikeTimes.get(digest);
    if (times == null) {
      return 0;
    }
    long now = clock.getAsLong();
    times.values().removeIf(at -> now - at > STRIKE_EXPIRY_NANOS);
    return times.size();
  }

  /** Returns the number of digests that are refused. */
  public synchronized int quarantinedCount() {
    return (int) strikeTimes.keySet().stream().filter(this::isQuarantined).count();
  }

  /** Returns recent strikes of this router that other routers may not have received yet. */
  public synchronized List<DigestStrike> strikesToReport() {
    long now = clock.getAsLong();
    localStrikes.values().removeIf(at -> now - at > STRIKE_REPORT_NANOS);
    return new ArrayList<>(localStrikes.keySet());
  }
}
