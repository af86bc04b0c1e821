package org.toucansaddle.coordination.replication;

import java.util.Optional;

/**
 * Raft state that a replica persists across restarts in addition to its log. Immutable.
 *
 * @param term highest term the replica has seen
 * @param votedFor replica that received this replica's vote in {@code term}, if any
 */
public record HardState(long term, Optional<ReplicaId> votedFor) {

  /** Returns the state of a new replica: term 0 and no vote. */
  public static HardState initial() {
    return new HardState(0, Optional.empty());
  }
}
