package org.toucansaddle.coordination.internal.replication;

/** How far one peer has followed the leader's log. Not thread-safe. */
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

  /** Records that the peer's disk holds the leader's log up to {@code index}. */
  void recordMatch(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  /** Records that the peer lacks the entry before the ones sent. */
  void recordRejection(long hint) {
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, Math.max(1, hint)));
  }
}
