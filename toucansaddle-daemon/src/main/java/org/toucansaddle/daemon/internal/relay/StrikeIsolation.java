package org.toucansaddle.daemon.internal.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Upstreams at which this router runs a request with strikes.
 *
 * <p>Invariant: at most one such request runs at an upstream, so that an innocent one can clear
 * itself. Thread-safe.
 */
public final class StrikeIsolation {

  private final Map<String, Long> digestByUpstream = new ConcurrentHashMap<>();

  /** Returns whether no struck request runs at an upstream. */
  boolean isAvailable(String upstream) {
    return !digestByUpstream.containsKey(upstream);
  }

  /** Marks an upstream; returns false if a struck request runs there. */
  boolean tryReserve(String upstream, long digest) {
    return digestByUpstream.putIfAbsent(upstream, digest) == null;
  }

  /** Removes the mark that a request set. */
  void release(String upstream, long digest) {
    digestByUpstream.remove(upstream, digest);
  }
}
