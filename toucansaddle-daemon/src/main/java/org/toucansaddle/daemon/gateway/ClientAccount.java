package org.toucansaddle.daemon.gateway;

import java.util.Set;

/**
 * A client account and its keys. Immutable.
 *
 * @param name name that upstreams are told
 * @param keys keys of its callers
 */
public record ClientAccount(String name, Set<String> keys) {

  /** Copies the keys. */
  public ClientAccount {
    keys = Set.copyOf(keys);
  }
}
