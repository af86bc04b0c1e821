package org.toucansaddle.daemon.gateway;

import java.util.Set;
import org.toucansaddle.coordination.zones.AllowedRegions;

/**
 * A client account and its keys. Immutable.
 *
 * @param name name that is sent to upstreams
 * @param keys keys that authenticate its callers
 * @param regions regions in which its requests may be served
 */
public record ClientAccount(String name, Set<String> keys, AllowedRegions regions) {

  /** Creates an account whose requests may be served in all regions. */
  public ClientAccount(String name, Set<String> keys) {
    this(name, keys, AllowedRegions.any());
  }

  /** Copies the keys. */
  public ClientAccount {
    keys = Set.copyOf(keys);
  }
}
