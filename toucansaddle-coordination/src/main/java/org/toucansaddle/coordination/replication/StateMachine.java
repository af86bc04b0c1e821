package org.toucansaddle.coordination.replication;

/**
 * Deterministic state driven by the committed commands.
 *
 * <p>Every replica applies the same commands in the same order, so {@code apply} must depend on
 * nothing but the state and the command. Called from the replica's thread only.
 */
public interface StateMachine {

  /**
   * Applies one committed command.
   *
   * @param index index of the command in the log; rises with each call
   * @return the result for whoever proposed the command
   */
  byte[] apply(long index, byte[] command);

  /** Returns the encoded state. */
  byte[] snapshot();

  /** Replaces the state by an encoded one; an empty array is the initial state. */
  void restore(byte[] state);
}
