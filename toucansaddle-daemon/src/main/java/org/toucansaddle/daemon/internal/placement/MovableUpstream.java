package org.toucansaddle.daemon.internal.placement;

import java.util.Set;

/**
 * An upstream that can load another model. Immutable.
 *
 * @param id name of the upstream
 * @param incarnation incarnation of the upstream's process
 * @param address host and port
 * @param slots number of requests that it runs concurrently
 * @param checksFencing whether it refuses an order with an outdated fencing token
 * @param loadable names of the models that it can load
 */
record MovableUpstream(
    String id,
    long incarnation,
    String address,
    int slots,
    boolean checksFencing,
    Set<String> loadable) {

  /** Copies {@code loadable}. */
  MovableUpstream {
    loadable = Set.copyOf(loadable);
  }
}
