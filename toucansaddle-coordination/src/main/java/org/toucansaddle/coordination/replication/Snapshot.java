package org.toucansaddle.coordination.replication;

import java.util.Objects;

/**
 * State of the state machine after applying the entry at {@code lastIndex}; replaces all entries up
 * to and including that entry.
 *
 * <p>Immutable by convention: {@code state} must not be modified after construction.
 *
 * @param lastIndex index of the last entry included in the state; 0 for the empty state
 * @param lastTerm term of that entry
 * @param members replica set in effect at that entry
 * @param state encoded state of the state machine
 */
public record Snapshot(long lastIndex, long lastTerm, ReplicaSet members, byte[] state) {

  /** Validates that the members and the state are not null. */
  public Snapshot {
    Objects.requireNonNull(members, "members");
    Objects.requireNonNull(state, "state");
  }

  /** Returns the snapshot of a new log: index 0, no members, empty state. */
  public static Snapshot empty() {
    return new Snapshot(0, 0, ReplicaSet.empty(), new byte[0]);
  }
}
