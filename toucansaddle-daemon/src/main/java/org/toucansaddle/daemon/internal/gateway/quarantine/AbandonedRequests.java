package org.toucansaddle.daemon.internal.gateway.quarantine;

import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * Requests whose responses this router no longer waits for, although the upstream that has them may
 * still run them.
 *
 * <p>An upstream that crashes while it may be running such a request leaves a strike, as it does
 * while the router waits. Bounded: the requests that were abandoned first are forgotten. Not
 * thread-safe.
 */
final class AbandonedRequests {

  static final int MAX_DIGESTS = 1_000;
  static final int MAX_UPSTREAMS = 32;

  /** For each digest the upstreams that may be running it, and until when, in nanoseconds. */
  private final Map<Long, Map<String, Long>> runningUntil = new BoundedMap<>(MAX_DIGESTS);

  /** Adds a request that an upstream may run until a time. */
  void add(long digest, String upstream, long untilNanos) {
    Map<String, Long> upstreams = runningUntil.remove(digest);
    Map<String, Long> latest = upstreams == null ? new BoundedMap<>(MAX_UPSTREAMS) : upstreams;
    latest.put(upstream, untilNanos);
    runningUntil.put(digest, latest);
  }

  /** Removes a request that ran successfully elsewhere. */
  void remove(long digest) {
    runningUntil.remove(digest);
  }

  /** Returns the upstreams that may run one of the requests. */
  Set<String> upstreams() {
    Set<String> all = new HashSet<>();
    runningUntil.values().forEach(upstreams -> all.addAll(upstreams.keySet()));
    return all;
  }

  /** Removes the requests of an upstream and returns those that it may have run at a time. */
  Set<Long> removeOf(String upstream, long nanos) {
    Set<Long> running = new HashSet<>();
    Iterator<Map.Entry<Long, Map<String, Long>>> entries = runningUntil.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Long, Map<String, Long>> entry = entries.next();
      Long until = entry.getValue().remove(upstream);
      if (until != null && until - nanos >= 0) {
        running.add(entry.getKey());
      }
      if (entry.getValue().isEmpty()) {
        entries.remove();
      }
    }
    return running;
  }
}
