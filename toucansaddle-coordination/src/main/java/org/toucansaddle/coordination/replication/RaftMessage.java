package org.toucansaddle.coordination.replication;

import java.util.List;

/** A message between two replicas. All message types are immutable. */
public sealed interface RaftMessage {

  /** Returns the sender's term. */
  long term();

  /**
   * Requests a vote or, for a pre-vote, whether the receiver would grant its vote.
   *
   * @param term term of the election; for a pre-vote the term the election would have
   * @param preVote whether this is a pre-vote, which does not bind the voter
   * @param lastIndex index of the candidate's last entry
   * @param lastTerm term of the candidate's last entry
   */
  record VoteRequest(long term, boolean preVote, long lastIndex, long lastTerm)
      implements RaftMessage {

    /** Returns whether the candidate's log is at least as up to date as one ending here. */
    public boolean isUpToDate(long otherLastIndex, long otherLastTerm) {
      return lastTerm == otherLastTerm ? lastIndex >= otherLastIndex : lastTerm > otherLastTerm;
    }
  }

  /**
   * Response to a {@link VoteRequest}.
   *
   * @param term for a granted pre-vote the requested term, otherwise the voter's term
   * @param preVote whether the request was a pre-vote
   * @param granted whether the vote is granted
   */
  record VoteResponse(long term, boolean preVote, boolean granted) implements RaftMessage {}

  /**
   * Replicates entries; an empty request is the leader's heartbeat.
   *
   * @param term the leader's term
   * @param previousIndex index of the entry before the first of {@code entries}
   * @param previousTerm term of that entry
   * @param entries entries in order
   * @param commitIndex highest index known to be committed
   * @param round number of the leader's heartbeat round, for read confirmation and the lease
   */
  record AppendRequest(
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex,
      long round)
      implements RaftMessage {}

  /**
   * Response to an {@link AppendRequest} or a {@link SnapshotRequest}.
   *
   * @param term the follower's term
   * @param success whether the follower's log matched at {@code previousIndex}
   * @param matchIndex on success the highest matching index, otherwise the next index to try
   * @param round the round of the request
   */
  record AppendResponse(long term, boolean success, long matchIndex, long round)
      implements RaftMessage {}

  /**
   * Replaces the log of a follower that needs entries the leader has already compacted.
   *
   * @param term the leader's term
   * @param snapshot state the follower continues from
   * @param round number of the leader's heartbeat round
   */
  record SnapshotRequest(long term, Snapshot snapshot, long round) implements RaftMessage {}
}
