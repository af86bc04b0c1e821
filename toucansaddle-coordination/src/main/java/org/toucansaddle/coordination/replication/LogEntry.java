package org.toucansaddle.coordination.replication;

import java.util.Objects;

/**
 * One entry of the replicated log.
 *
 * <p>Immutable by convention: {@code payload} must not be modified after construction. An index and
 * a term together identify the same entry in every replica.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that created the entry
 * @param kind type of the payload
 * @param payload command or encoded replica set; empty for {@link Kind#BARRIER}
 */
public record LogEntry(long index, long term, Kind kind, byte[] payload) {

  /** Type of an entry. */
  public enum Kind {
    /** A command for the state machine. */
    COMMAND,
    /** A new replica set. */
    MEMBERS,
    /** Empty entry with which a new leader commits the entries of earlier terms. */
    BARRIER
  }

  /** Validates that the kind and the payload are not null. */
  public LogEntry {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(payload, "payload");
  }
}
