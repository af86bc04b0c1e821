package org.toucansaddle.coordination.replication;

import java.util.Objects;

/**
 * State of the state machine after the entry at {@code lastIndex}; replaces all entries up to it.
 *
 * <p>Immutable by agreement: nobody changes {@code state} after construction.
 *
 * @param lastIndex index of the last entry that is part of the state; 0 for the empty state
 * @param lastTerm term of that entry
 * @param members replica set in force at that entry
 * @param state encoded state of the state machine
 */
public record Snapshot(long lastIndex, long lastTerm, ReplicaSet members, byte[] state) {

  /** Validates the parts. */
  public Snapshot {
    Objects.requireNonNull(members, "members");
    Objects.requireNonNull(state, "state");
  }

  /** Returns the snapshot that a new log starts from. */
  public static Snapshot empty() {
    return new Snapshot(0, 0, ReplicaSet.empty(), new byte[0]);
  }
}
