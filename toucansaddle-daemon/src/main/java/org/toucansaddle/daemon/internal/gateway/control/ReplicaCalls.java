package org.toucansaddle.daemon.internal.gateway.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicatedLog;
import org.toucansaddle.coordination.replication.ReplicationException;
import org.toucansaddle.daemon.internal.control.ControlReplica;
import org.toucansaddle.protocol.generated.ProposeReply;

/** Calls this daemon's replica and encodes its failures. Stateless and thread-safe. */
final class ReplicaCalls {

  private ReplicaCalls() {}

  static <T> CompletableFuture<T> call(
      Optional<ControlReplica> replica, Function<ReplicatedLog, CompletableFuture<T>> action) {
    if (replica.isEmpty()) {
      return CompletableFuture.failedFuture(
          new IllegalStateException(
              "This daemon is not a control replica; send the call to a control daemon."));
    }
    return replica.get().submit(action);
  }

  static ProposeReply.Status statusOf(Throwable failure) {
    Optional<ReplicationException> cause = replicationFailure(failure);
    boolean notLeader =
        cause.map(e -> e.kind() == ReplicationException.Kind.NOT_LEADER).orElse(false);
    return notLeader ? ProposeReply.Status.NOT_LEADER : ProposeReply.Status.OUTCOME_UNKNOWN;
  }

  static String leaderOf(Throwable failure) {
    return replicationFailure(failure)
        .flatMap(ReplicationException::leader)
        .map(ReplicaId::name)
        .orElse("");
  }

  private static Optional<ReplicationException> replicationFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ReplicationException replicationCause
        ? Optional.of(replicationCause)
        : Optional.empty();
  }
}
