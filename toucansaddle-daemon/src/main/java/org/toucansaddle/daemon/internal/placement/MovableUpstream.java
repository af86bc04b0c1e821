package org.toucansaddle.daemon.internal.placement;

import java.util.Set;

/**
 * An upstream that can load another model. Immutable.
 *
 * @param id name of the upstream
 * @param incarnation number of its start
 * @param address host and port
 * @param slots requests it runs at a time
 * @param checksFencing whether it refuses an order with an old fencing number
 * @param loadable models that it can load
 */
record MovableUpstream(
    String id,
    long incarnation,
    String address,
    int slots,
    boolean checksFencing,
    Set<String> loadable) {

  /** Copies the set. */
  MovableUpstream {
    loadable = Set.copyOf(loadable);
  }
}
