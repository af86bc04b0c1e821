package org.toucansaddle.daemon.internal.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Reserves upstreams for requests with strikes.
 *
 * <p>Invariant: this router runs at most one request with strikes at an upstream at a time, so that
 * a harmless request can complete and clear its strikes. Thread-safe.
 */
public final class StrikeIsolation {

  private final Map<String, Long> digestByUpstreamId = new ConcurrentHashMap<>();

  /** Returns whether no request with strikes runs at an upstream. */
  boolean isAvailable(String upstreamId) {
    return !digestByUpstreamId.containsKey(upstreamId);
  }

  /** Reserves an upstream; returns false if a request with strikes runs there. */
  boolean tryReserve(String upstreamId, long digest) {
    return digestByUpstreamId.putIfAbsent(upstreamId, digest) == null;
  }

  /** Releases an upstream if the request with this digest reserved it. */
  void release(String upstreamId, long digest) {
    digestByUpstreamId.remove(upstreamId, digest);
  }
}
