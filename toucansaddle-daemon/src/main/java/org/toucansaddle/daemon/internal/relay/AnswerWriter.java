package org.toucansaddle.daemon.internal.relay;

import org.toucansaddle.daemon.internal.problem.Problem;

/**
 * Writes one model answer to a caller.
 *
 * <p>Calls come one at a time: any number of tokens, then one end or failure.
 */
interface AnswerWriter {

  /** Writes one part of the answer, as the upstream's JSON and its text. */
  void part(String json, String text);

  /** Ends a whole answer. */
  void end(AnswerUsage usage);

  /** Ends an answer that cannot become whole. */
  void fail(Problem problem);
}
