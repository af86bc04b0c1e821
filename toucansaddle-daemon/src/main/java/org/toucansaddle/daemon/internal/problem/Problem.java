package org.toucansaddle.daemon.internal.problem;

import java.util.OptionalInt;

/**
 * A typed error in the form of RFC 9457, returned to callers and operators. Immutable.
 *
 * @param status HTTP status
 * @param type short, stable name of the error type
 * @param detail what happened, why, and how to resolve it
 * @param runState whether an upstream ran the request
 * @param retryAfterSeconds delay before a retry, in seconds, if a retry can succeed
 */
public record Problem(
    int status, String type, String detail, RunState runState, OptionalInt retryAfterSeconds) {

  /** Creates a problem without a retry delay. */
  public static Problem of(int status, String type, RunState runState, String detail) {
    return new Problem(status, type, detail, runState, OptionalInt.empty());
  }

  /** Returns a copy with a retry delay of {@code seconds}, at least 1 second. */
  public Problem withRetryAfter(int seconds) {
    return new Problem(status, type, detail, runState, OptionalInt.of(Math.max(1, seconds)));
  }
}
