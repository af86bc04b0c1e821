package org.toucansaddle.daemon.gateway;

import java.util.Set;

/**
 * A client account and its keys. Immutable.
 *
 * @param name name that is sent to upstreams
 * @param keys keys that authenticate its callers
 */
public record ClientAccount(String name, Set<String> keys) {

  /** Copies the keys. */
  public ClientAccount {
    keys = Set.copyOf(keys);
  }
}
