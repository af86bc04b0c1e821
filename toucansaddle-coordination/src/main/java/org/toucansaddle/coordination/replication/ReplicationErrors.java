package org.toucansaddle.coordination.replication;

import java.util.Optional;

/**
 * Creates the exceptions of the replicated log; each message states the remedy. Stateless and
 * thread-safe.
 */
public final class ReplicationErrors {

  private ReplicationErrors() {}

  /** Returns the error for a call on a replica that is not the leader. */
  public static ReplicationException notLeader(Optional<ReplicaId> leader) {
    String remedy =
        leader
            .map(id -> "send the command to " + id.name())
            .orElse("retry after an election timeout, because no leader is known");
    return new ReplicationException(
        ReplicationException.Kind.NOT_LEADER,
        leader,
        "This replica is not the leader of the log, so the command was not proposed; "
            + remedy
            + ".");
  }

  /** Returns the error for a command that was pending when the leader stepped down. */
  public static ReplicationException outcomeUnknown() {
    return new ReplicationException(
        ReplicationException.Kind.OUTCOME_UNKNOWN,
        Optional.empty(),
        "Leadership ended before the command was committed, so it may or may not take effect;"
            + " resend it with the same command id to obtain the result.");
  }
}
