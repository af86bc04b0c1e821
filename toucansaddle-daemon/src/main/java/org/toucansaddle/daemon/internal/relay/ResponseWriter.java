package org.toucansaddle.daemon.internal.relay;

import java.util.List;
import org.toucansaddle.daemon.internal.problem.Problem;

/**
 * Writes one model answer to a caller.
 *
 * <p>Calls come one at a time: any number of parts, then one end or failure.
 */
interface ResponseWriter {

  /** Takes parts of the answer; they may stay unwritten until {@link #flush}. */
  void append(List<ResponseChunk> parts);

  /** Writes what was taken. Call it without any lock: it may find that the caller is gone. */
  void flush();

  /** Ends a whole answer. */
  void complete(TokenUsage usage);

  /** Ends an answer that cannot become whole. */
  void fail(Problem problem);
}
