package org.toucansaddle.coordination.replication;

import java.util.Optional;

/** Thrown when the replicated log cannot complete a command or a read. Immutable. */
public final class ReplicationException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Cause of the failure. */
  public enum Kind {
    /** This replica is not the leader; the command was not proposed. */
    NOT_LEADER,
    /** Leadership ended before the command was committed; it may or may not take effect. */
    OUTCOME_UNKNOWN
  }

  private final Kind kind;
  private final transient Optional<ReplicaId> leader;

  /** Creates an exception; use the factories in {@link ReplicationErrors}. */
  ReplicationException(Kind kind, Optional<ReplicaId> leader, String message) {
    super(message);
    this.kind = kind;
    this.leader = leader;
  }

  /** Returns the cause of the failure. */
  public Kind kind() {
    return kind;
  }

  /** Returns the leader that the call should be sent to, if known. */
  public Optional<ReplicaId> leader() {
    return leader;
  }
}
