package org.toucansaddle.coordination.replication;

import java.util.Objects;

/**
 * One entry of the replicated log.
 *
 * <p>Immutable by agreement: nobody changes {@code payload} after construction. An index and a term
 * together name exactly one entry in every replica.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that created the entry
 * @param kind what the payload holds
 * @param payload command or encoded replica set; empty for {@link Kind#BARRIER}
 */
public record LogEntry(long index, long term, Kind kind, byte[] payload) {

  /** What an entry holds. */
  public enum Kind {
    /** A command for the state machine. */
    COMMAND,
    /** A new replica set. */
    MEMBERS,
    /** Nothing: lets a new leader commit the entries of earlier terms. */
    BARRIER
  }

  /** Validates the parts. */
  public LogEntry {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(payload, "payload");
  }
}
