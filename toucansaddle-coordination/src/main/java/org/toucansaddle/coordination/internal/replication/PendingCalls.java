package org.toucansaddle.coordination.internal.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.ReplicationErrors;

/** Futures of the proposals and reads that are pending on the leader. Not thread-safe. */
final class PendingCalls {

  private record Proposal(long term, CompletableFuture<byte[]> future) {}

  private record Read(long round, long index, CompletableFuture<Long> future) {}

  private final TreeMap<Long, Proposal> proposals = new TreeMap<>();
  private final Deque<Read> reads = new ArrayDeque<>();

  CompletableFuture<byte[]> addProposal(LogEntry entry) {
    CompletableFuture<byte[]> future = new CompletableFuture<>();
    proposals.put(entry.index(), new Proposal(entry.term(), future));
    return future;
  }

  /**
   * Adds a read that completes once a quorum has acknowledged {@code round} and {@code index} is
   * applied.
   */
  CompletableFuture<Long> addRead(long round, long index) {
    CompletableFuture<Long> future = new CompletableFuture<>();
    reads.add(new Read(round, index, future));
    return future;
  }

  /**
   * Completes the proposal at the index of an applied entry, or fails it if the entry has another
   * term.
   */
  void completeProposal(LogEntry entry, byte[] result) {
    Proposal proposal = proposals.remove(entry.index());
    if (proposal == null) {
      return;
    }
    if (proposal.term() == entry.term()) {
      proposal.future().complete(result);
    } else {
      proposal.future().completeExceptionally(ReplicationErrors.outcomeUnknown());
    }
  }

  /** Completes the reads that are confirmed by a quorum and whose index is applied. */
  void completeReads(long quorumRound, long appliedIndex) {
    while (!reads.isEmpty()
        && reads.peek().round() <= quorumRound
        && reads.peek().index() <= appliedIndex) {
      Read read = reads.poll();
      read.future().complete(read.index());
    }
  }

  /** Fails all pending calls with an unknown outcome, because leadership ended. */
  void failAll() {
    List<CompletableFuture<?>> failed = new ArrayList<>();
    proposals.values().forEach(proposal -> failed.add(proposal.future()));
    reads.forEach(read -> failed.add(read.future()));
    proposals.clear();
    reads.clear();
    failed.forEach(future -> future.completeExceptionally(ReplicationErrors.outcomeUnknown()));
  }
}
