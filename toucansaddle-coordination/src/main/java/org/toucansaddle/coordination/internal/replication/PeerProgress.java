package org.toucansaddle.coordination.internal.replication;

/** Replication progress of one peer, as tracked by the leader. Not thread-safe. */
final class PeerProgress {

  private long nextIndex;
  private long matchIndex;
  private long acknowledgedRound;

  PeerProgress(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  long nextIndex() {
    return nextIndex;
  }

  long matchIndex() {
    return matchIndex;
  }

  long acknowledgedRound() {
    return acknowledgedRound;
  }

  void recordAcknowledgedRound(long round) {
    acknowledgedRound = Math.max(acknowledgedRound, round);
  }

  /** Records that entries up to {@code lastIndex} were sent. */
  void recordSent(long lastIndex) {
    nextIndex = Math.max(nextIndex, lastIndex + 1);
  }

  /** Records that the leader's log up to {@code index} is durable on the peer. */
  void recordMatch(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  /** Moves the next index back to {@code hintIndex}, as the peer lacks the preceding entry. */
  void recordRejection(long hintIndex) {
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, Math.max(1, hintIndex)));
  }
}
