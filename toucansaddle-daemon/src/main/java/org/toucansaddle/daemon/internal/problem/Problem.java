package org.toucansaddle.daemon.internal.problem;

import java.util.OptionalInt;

/**
 * A typed error as callers and operators see it (RFC 9457). Immutable.
 *
 * @param status HTTP status
 * @param type short name of the kind of error
 * @param detail what happened, why, and the remedy
 * @param run whether the request was run
 * @param retryAfterSeconds when to come back, where that helps
 */
public record Problem(
    int status, String type, String detail, RunState runState, OptionalInt retryAfterSeconds) {

  /** Creates a problem with no use in coming back. */
  public static Problem of(int status, String type, RunState run, String detail) {
    return new Problem(status, type, detail, run, OptionalInt.empty());
  }

  /** Returns this problem with a time to come back. */
  public Problem withRetryAfter(int seconds) {
    return new Problem(status, type, detail, runState, OptionalInt.of(Math.max(1, seconds)));
  }

  /** Returns this problem with another run state. */
  public Problem withRunState(RunState newRun) {
    return new Problem(status, type, detail, newRun, retryAfterSeconds);
  }
}
