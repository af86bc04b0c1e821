package org.toucansaddle.daemon.internal.relay;

/** Outcome of an attempt at an upstream. */
enum AttemptOutcome {
  /** The response is complete. */
  WHOLE,
  /** No connection was established; the upstream has not run the request. */
  NOT_CONNECTED,
  /** The upstream refused to run the request. */
  REFUSED,
  /** The connection broke before the response was complete. */
  BROKEN,
  /** The upstream sent nothing within the stall timeout. */
  STALLED,
  /** The response belongs to another attempt or is malformed. */
  WRONG_ANSWER,
  /**
   * The router preempted the attempt for an account that is further behind its fair share; the
   * request continues later.
   */
  PREEMPTED,
  /** The router cancelled the attempt. */
  CANCELLED
}
