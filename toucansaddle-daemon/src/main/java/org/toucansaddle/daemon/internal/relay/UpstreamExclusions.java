package org.toucansaddle.daemon.internal.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Upstreams that a request avoids for a moment, because an attempt failed there. Thread-safe. */
final class UpstreamExclusions {

  private static final long AVOID_MILLIS = 1_000;

  private final Map<String, Long> until = new ConcurrentHashMap<>();

  void exclude(String upstream, long now) {
    until.put(upstream, now + AVOID_MILLIS);
  }

  boolean isExcluded(String upstream, long now) {
    return !until.isEmpty() && until.getOrDefault(upstream, Long.MIN_VALUE) > now;
  }
}
