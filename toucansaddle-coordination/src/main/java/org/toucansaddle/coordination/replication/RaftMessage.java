package org.toucansaddle.coordination.replication;

import java.util.List;

/** A message between two replicas. All kinds are immutable. */
public sealed interface RaftMessage {

  /** Returns the sender's term. */
  long term();

  /**
   * Asks for a vote, or with {@code preVote} whether a vote would be given.
   *
   * @param term term the candidate stands in; for a pre-vote the term it would stand in
   * @param preVote whether this only asks
   * @param lastIndex index of the candidate's last entry
   * @param lastTerm term of the candidate's last entry
   */
  record VoteRequest(long term, boolean preVote, long lastIndex, long lastTerm)
      implements RaftMessage {

    /** Returns whether the candidate's log holds all of a log that ends with this entry. */
    public boolean isUpToDate(long otherLastIndex, long otherLastTerm) {
      return lastTerm == otherLastTerm ? lastIndex >= otherLastIndex : lastTerm > otherLastTerm;
    }
  }

  /**
   * Answers a {@link VoteRequest}.
   *
   * @param term for a granted pre-vote the term asked for, else the voter's term
   * @param preVote whether the request was a pre-vote
   * @param granted whether the vote is given
   */
  record VoteResponse(long term, boolean preVote, boolean granted) implements RaftMessage {}

  /**
   * Replicates entries; without entries it is the leader's heartbeat.
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
   * Answers an {@link AppendRequest} or a {@link SnapshotRequest}.
   *
   * @param term the follower's term
   * @param success whether the follower's log matched at {@code previousIndex}
   * @param matchIndex on success the highest index that matches, else the index to try next
   * @param round the round of the request
   */
  record AppendResponse(long term, boolean success, long matchIndex, long round)
      implements RaftMessage {}

  /**
   * Replaces a follower's log that is too far behind.
   *
   * @param term the leader's term
   * @param snapshot state to start from
   * @param round number of the leader's heartbeat round
   */
  record SnapshotRequest(long term, Snapshot snapshot, long round) implements RaftMessage {}
}
