package org.toucansaddle.daemon.internal.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Upstreams that a request avoids for a short time after a failed attempt. Thread-safe. */
final class UpstreamExclusions {

  private static final long EXCLUSION_MILLIS = 1_000;

  private final Map<String, Long> excludedUntilMillis = new ConcurrentHashMap<>();

  void exclude(String upstreamId, long nowMillis) {
    excludedUntilMillis.put(upstreamId, nowMillis + EXCLUSION_MILLIS);
  }

  boolean isExcluded(String upstreamId, long nowMillis) {
    return !excludedUntilMillis.isEmpty()
        && excludedUntilMillis.getOrDefault(upstreamId, Long.MIN_VALUE) > nowMillis;
  }
}
