package org.toucansaddle.daemon.internal.relay;

/** How an attempt at an upstream ended. */
enum AttemptOutcome {
  /** The answer is whole. */
  WHOLE,
  /** No connection was made; the upstream has not run the request. */
  NOT_CONNECTED,
  /** The upstream refused to run the request. */
  REFUSED,
  /** The connection broke in mid-answer. */
  BROKEN,
  /** The upstream was silent for too long. */
  STALLED,
  /** The answer is another request's, or not what was asked for. */
  WRONG_ANSWER,
  /** The router stopped it for an account further behind; it continues later. */
  PREEMPTED,
  /** The router gave the attempt up. */
  CANCELLED
}
