package org.toucansaddle.coordination.replication;

import java.util.Optional;

/**
 * What a replica must remember across restarts besides its log. Immutable.
 *
 * @param term highest term the replica has seen
 * @param votedFor replica that got this replica's vote in {@code term}
 */
public record HardState(long term, Optional<ReplicaId> votedFor) {

  /** Returns the state of a replica that has seen no term. */
  public static HardState initial() {
    return new HardState(0, Optional.empty());
  }
}
