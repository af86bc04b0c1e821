package org.toucansaddle.daemon.internal.control;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.RaftMessage;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;
import org.toucansaddle.coordination.replication.Snapshot;
import org.toucansaddle.protocol.generated.AppendRequestMessage;
import org.toucansaddle.protocol.generated.AppendResponseMessage;
import org.toucansaddle.protocol.generated.ReplicaIdentity;
import org.toucansaddle.protocol.generated.ReplicaMembers;
import org.toucansaddle.protocol.generated.ReplicatedEntry;
import org.toucansaddle.protocol.generated.ReplicationMessage;
import org.toucansaddle.protocol.generated.SnapshotRequestMessage;
import org.toucansaddle.protocol.generated.VoteRequestMessage;
import org.toucansaddle.protocol.generated.VoteResponseMessage;

/** Converts messages of the replicated log to and from protobuf. Stateless and thread-safe. */
public final class ReplicationMessageCodec {

  private ReplicationMessageCodec() {}

  static ReplicationMessage encode(ReplicaId from, ReplicaId to, RaftMessage message) {
    ReplicationMessage.Builder out =
        ReplicationMessage.newBuilder()
            .setFromFolder(from.folderId())
            .setToFolder(to.folderId())
            .setTerm(message.term());
    if (message instanceof RaftMessage.VoteRequest m) {
      out.setVoteRequest(
          VoteRequestMessage.newBuilder()
              .setPreVote(m.preVote())
              .setLastIndex(m.lastIndex())
              .setLastTerm(m.lastTerm()));
    } else if (message instanceof RaftMessage.VoteResponse m) {
      out.setVoteResponse(
          VoteResponseMessage.newBuilder().setPreVote(m.preVote()).setGranted(m.granted()));
    } else if (message instanceof RaftMessage.AppendRequest m) {
      out.setAppendRequest(encode(m));
    } else if (message instanceof RaftMessage.AppendResponse m) {
      out.setAppendResponse(
          AppendResponseMessage.newBuilder()
              .setSuccess(m.success())
              .setMatchIndex(m.matchIndex())
              .setRound(m.round()));
    } else if (message instanceof RaftMessage.SnapshotRequest m) {
      out.setSnapshotRequest(encode(m));
    }
    return out.build();
  }

  private static AppendRequestMessage encode(RaftMessage.AppendRequest message) {
    AppendRequestMessage.Builder out =
        AppendRequestMessage.newBuilder()
            .setPreviousIndex(message.previousIndex())
            .setPreviousTerm(message.previousTerm())
            .setCommitIndex(message.commitIndex())
            .setRound(message.round());
    for (LogEntry entry : message.entries()) {
      out.addEntries(
          ReplicatedEntry.newBuilder()
              .setIndex(entry.index())
              .setTerm(entry.term())
              .setKind(entry.kind().ordinal())
              .setPayload(ByteString.copyFrom(entry.payload())));
    }
    return out.build();
  }

  private static SnapshotRequestMessage encode(RaftMessage.SnapshotRequest message) {
    Snapshot snapshot = message.snapshot();
    return SnapshotRequestMessage.newBuilder()
        .setLastIndex(snapshot.lastIndex())
        .setLastTerm(snapshot.lastTerm())
        .setMembers(encode(snapshot.members()))
        .setState(ByteString.copyFrom(snapshot.state()))
        .setRound(message.round())
        .build();
  }

  /** Encodes a replica's identity. */
  public static ReplicaIdentity encode(ReplicaId id) {
    return ReplicaIdentity.newBuilder().setName(id.name()).setFolderId(id.folderId()).build();
  }

  /** Decodes a replica's identity. */
  public static ReplicaId decode(ReplicaIdentity id) {
    return new ReplicaId(id.getName(), id.getFolderId());
  }

  private static ReplicaMembers encode(ReplicaSet set) {
    ReplicaMembers.Builder out = ReplicaMembers.newBuilder();
    set.voters().forEach(id -> out.addVoters(encode(id)));
    set.learners().forEach(id -> out.addLearners(encode(id)));
    return out.build();
  }

  /** Decodes a message; empty if it or one of its entries is of an unknown kind. */
  static Optional<RaftMessage> decode(ReplicationMessage in) {
    return switch (in.getKindCase()) {
      case VOTE_REQUEST -> {
        VoteRequestMessage m = in.getVoteRequest();
        yield Optional.of(
            new RaftMessage.VoteRequest(
                in.getTerm(), m.getPreVote(), m.getLastIndex(), m.getLastTerm()));
      }
      case VOTE_RESPONSE -> {
        VoteResponseMessage m = in.getVoteResponse();
        yield Optional.of(
            new RaftMessage.VoteResponse(in.getTerm(), m.getPreVote(), m.getGranted()));
      }
      case APPEND_REQUEST -> decode(in.getTerm(), in.getAppendRequest());
      case APPEND_RESPONSE -> {
        AppendResponseMessage m = in.getAppendResponse();
        yield Optional.of(
            new RaftMessage.AppendResponse(
                in.getTerm(), m.getSuccess(), m.getMatchIndex(), m.getRound()));
      }
      case SNAPSHOT_REQUEST -> Optional.of(decode(in.getTerm(), in.getSnapshotRequest()));
      default -> Optional.empty();
    };
  }

  private static Optional<RaftMessage> decode(long term, AppendRequestMessage in) {
    List<LogEntry> entries = new ArrayList<>();
    LogEntry.Kind[] kinds = LogEntry.Kind.values();
    for (ReplicatedEntry entry : in.getEntriesList()) {
      if (entry.getKind() < 0 || entry.getKind() >= kinds.length) {
        return Optional.empty();
      }
      entries.add(
          new LogEntry(
              entry.getIndex(),
              entry.getTerm(),
              kinds[entry.getKind()],
              entry.getPayload().toByteArray()));
    }
    return Optional.of(
        new RaftMessage.AppendRequest(
            term,
            in.getPreviousIndex(),
            in.getPreviousTerm(),
            entries,
            in.getCommitIndex(),
            in.getRound()));
  }

  private static RaftMessage decode(long term, SnapshotRequestMessage in) {
    TreeSet<ReplicaId> voters = new TreeSet<>();
    in.getMembers().getVotersList().forEach(id -> voters.add(decode(id)));
    TreeSet<ReplicaId> learners = new TreeSet<>();
    in.getMembers().getLearnersList().forEach(id -> learners.add(decode(id)));
    Snapshot snapshot =
        new Snapshot(
            in.getLastIndex(),
            in.getLastTerm(),
            new ReplicaSet(voters, learners),
            in.getState().toByteArray());
    return new RaftMessage.SnapshotRequest(term, snapshot, in.getRound());
  }
}
