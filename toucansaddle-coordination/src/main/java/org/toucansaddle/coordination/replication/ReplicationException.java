package org.toucansaddle.coordination.replication;

import java.util.Optional;

/** A command or read that the replicated log could not complete. Immutable. */
public final class ReplicationException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Why the call failed. */
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

  /** Returns why the call failed. */
  public Kind kind() {
    return kind;
  }

  /** Returns the leader to send the call to, if one is known. */
  public Optional<ReplicaId> leader() {
    return leader;
  }
}
