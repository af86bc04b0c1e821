package org.toucansaddle.coordination.replication;

import java.util.Optional;

/** Builds the exceptions of the replicated log; each message names the remedy. Thread-safe. */
public final class ReplicationErrors {

  private ReplicationErrors() {}

  /** Returns the error of a call that reached a replica which does not lead. */
  public static ReplicationException notLeader(Optional<ReplicaId> leader) {
    String remedy =
        leader
            .map(id -> "send the command to " + id.name())
            .orElse("retry after an election timeout, a leader is being elected");
    return new ReplicationException(
        ReplicationException.Kind.NOT_LEADER,
        leader,
        "This replica does not lead the log, so the command was not proposed; " + remedy + ".");
  }

  /** Returns the error of a command whose leader lost its term. */
  public static ReplicationException outcomeUnknown() {
    return new ReplicationException(
        ReplicationException.Kind.OUTCOME_UNKNOWN,
        Optional.empty(),
        "Leadership ended before the command was committed, so it may or may not take effect;"
            + " resend it with the same command id to learn the result.");
  }
}
