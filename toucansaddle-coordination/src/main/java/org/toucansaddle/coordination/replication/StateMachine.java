package org.toucansaddle.coordination.replication;

/**
 * Deterministic state machine to which committed commands are applied.
 *
 * <p>Every replica applies the same commands in the same order, so {@code apply} must depend only
 * on the current state and its arguments. Not required to be thread-safe: only the replica's thread
 * calls it.
 */
public interface StateMachine {

  /**
   * Applies one committed command.
   *
   * @param index index of the command in the log; increases with each call
   * @return the result, which is passed to the proposer of the command
   */
  byte[] apply(long index, byte[] command);

  /** Returns the encoded state. */
  byte[] snapshot();

  /** Replaces the state with an encoded one; an empty array denotes the initial state. */
  void restore(byte[] state);
}
