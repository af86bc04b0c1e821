package org.toucansaddle.daemon.internal.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicationException;
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.protocol.generated.Command;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.FetchConfigurationReply;
import org.toucansaddle.protocol.generated.FetchConfigurationRequest;
import org.toucansaddle.protocol.generated.ProposeReply;
import org.toucansaddle.protocol.generated.ProposeRequest;

/**
 * Handles proposals and configuration fetches that other daemons or this one send to the leader of
 * the control replicas.
 *
 * <p>Only the leader can serve proposals and confirmed fetches; any other daemon replies NOT_LEADER
 * with the leader's name, if known. Every daemon serves unconfirmed fetches from its own
 * configuration. Thread-safe.
 */
public final class LeaderRequestHandler {

  private final Optional<ControlReplica> replica;
  private final ConfigurationHolder holder;

  /**
   * Creates a handler.
   *
   * @param replica replica of this daemon; empty on daemons without one
   */
  public LeaderRequestHandler(Optional<ControlReplica> replica, ConfigurationHolder holder) {
    this.replica = replica;
    this.holder = holder;
  }

  /** Proposes a command to the local replica. */
  public CompletableFuture<ProposeReply> propose(ProposeRequest request) {
    if (replica.isEmpty()) {
      return CompletableFuture.completedFuture(notLeaderReply(Optional.empty()));
    }
    Command command =
        request.getCommand().toBuilder().setProposedAtMillis(System.currentTimeMillis()).build();
    return replica
        .get()
        .submit(log -> log.propose(command.toByteArray()))
        .thenApply(LeaderRequestHandler::resultReply)
        .exceptionally(LeaderRequestHandler::failureReply);
  }

  /**
   * Returns configuration changes, confirmed by a quorum if the request has its confirmed flag set.
   */
  public CompletableFuture<FetchConfigurationReply> fetch(FetchConfigurationRequest request) {
    if (!request.getConfirmed()) {
      return CompletableFuture.completedFuture(deltaReply(request));
    }
    if (replica.isEmpty()) {
      return CompletableFuture.completedFuture(fetchFailureReply(notLeaderReply(Optional.empty())));
    }
    return replica
        .get()
        .submit(log -> log.confirmRead())
        .thenApply(index -> deltaReply(request))
        .exceptionally(failure -> fetchFailureReply(failureReply(failure)));
  }

  private FetchConfigurationReply deltaReply(FetchConfigurationRequest request) {
    return FetchConfigurationReply.newBuilder()
        .setStatus(ProposeReply.Status.DONE)
        .setDelta(holder.current().items().deltaSince(request.getFromRevision()))
        .build();
  }

  private static FetchConfigurationReply fetchFailureReply(ProposeReply reply) {
    return FetchConfigurationReply.newBuilder()
        .setStatus(reply.getStatus())
        .setLeader(reply.getLeader())
        .build();
  }

  private static ProposeReply resultReply(byte[] result) {
    try {
      return ProposeReply.newBuilder()
          .setStatus(ProposeReply.Status.DONE)
          .setResult(CommandResult.parseFrom(result))
          .build();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "The state machine returned a result that cannot be decoded.", e);
    }
  }

  private static ProposeReply failureReply(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof ReplicationException e
        && e.kind() == ReplicationException.Kind.NOT_LEADER) {
      return notLeaderReply(e.leader());
    }
    return ProposeReply.newBuilder().setStatus(ProposeReply.Status.OUTCOME_UNKNOWN).build();
  }

  private static ProposeReply notLeaderReply(Optional<ReplicaId> leader) {
    return ProposeReply.newBuilder()
        .setStatus(ProposeReply.Status.NOT_LEADER)
        .setLeader(leader.map(ReplicaId::name).orElse(""))
        .build();
  }
}
