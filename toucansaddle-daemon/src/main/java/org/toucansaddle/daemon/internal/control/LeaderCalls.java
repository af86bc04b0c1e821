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

/** Calls that only the leader of the control replicas can answer. Thread-safe. */
public final class LeaderCalls {

  private final Optional<ControlReplica> replica;
  private final ConfigurationHolder holder;

  /** Creates the calls of a daemon with or without a replica. */
  public LeaderCalls(Optional<ControlReplica> replica, ConfigurationHolder holder) {
    this.replica = replica;
    this.holder = holder;
  }

  /** Proposes a command here. */
  public CompletableFuture<ProposeReply> propose(ProposeRequest request) {
    if (replica.isEmpty()) {
      return CompletableFuture.completedFuture(notLeader(Optional.empty()));
    }
    Command command =
        request.getCommand().toBuilder().setProposedAtMillis(System.currentTimeMillis()).build();
    return replica
        .get()
        .call(log -> log.propose(command.toByteArray()))
        .thenApply(LeaderCalls::done)
        .exceptionally(LeaderCalls::failed);
  }

  /** Returns configuration changes, confirmed by a quorum if the request asks for it. */
  public CompletableFuture<FetchConfigurationReply> fetch(FetchConfigurationRequest request) {
    if (!request.getConfirmed()) {
      return CompletableFuture.completedFuture(delta(request));
    }
    if (replica.isEmpty()) {
      return CompletableFuture.completedFuture(fetchFailed(notLeader(Optional.empty())));
    }
    return replica
        .get()
        .call(log -> log.confirmRead())
        .thenApply(index -> delta(request))
        .exceptionally(failure -> fetchFailed(failed(failure)));
  }

  private FetchConfigurationReply delta(FetchConfigurationRequest request) {
    return FetchConfigurationReply.newBuilder()
        .setStatus(ProposeReply.Status.DONE)
        .setDelta(holder.current().items().since(request.getFromRevision()))
        .build();
  }

  private static FetchConfigurationReply fetchFailed(ProposeReply reply) {
    return FetchConfigurationReply.newBuilder()
        .setStatus(reply.getStatus())
        .setLeader(reply.getLeader())
        .build();
  }

  private static ProposeReply done(byte[] result) {
    try {
      return ProposeReply.newBuilder()
          .setStatus(ProposeReply.Status.DONE)
          .setResult(CommandResult.parseFrom(result))
          .build();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("The state machine returned an unreadable result.", e);
    }
  }

  private static ProposeReply failed(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof ReplicationException e
        && e.kind() == ReplicationException.Kind.NOT_LEADER) {
      return notLeader(e.leader());
    }
    return ProposeReply.newBuilder().setStatus(ProposeReply.Status.OUTCOME_UNKNOWN).build();
  }

  private static ProposeReply notLeader(Optional<ReplicaId> leader) {
    return ProposeReply.newBuilder()
        .setStatus(ProposeReply.Status.NOT_LEADER)
        .setLeader(leader.map(ReplicaId::name).orElse(""))
        .build();
  }
}
