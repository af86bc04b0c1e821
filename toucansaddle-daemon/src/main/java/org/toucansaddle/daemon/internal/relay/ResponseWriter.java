package org.toucansaddle.daemon.internal.relay;

import java.util.List;
import org.toucansaddle.daemon.internal.problem.Problem;

/**
 * Writes one model response to a caller.
 *
 * <p>Calls are not concurrent: any number of {@link #append} and {@link #flush}, then exactly one
 * {@link #complete} or {@link #fail}.
 */
interface ResponseWriter {

  /** Appends chunks; they may stay buffered until {@link #flush}. */
  void append(List<ResponseChunk> chunks);

  /**
   * Writes the buffered chunks. Must be called without holding a lock, because it may report that
   * the caller disconnected.
   */
  void flush();

  /** Ends a complete response. */
  void complete(TokenUsage usage);

  /** Ends a response that cannot be completed. */
  void fail(Problem problem);
}
