package org.toucansaddle.daemon.gateway;

/** How often a request of a route may run. */
public enum Repetition {
  /** It may run any number of times. */
  REPEATABLE,
  /** It runs once at most. */
  ONCE,
  /** Its answer is a stream of numbered events; it runs once at most unless it can be resumed. */
  STREAM
}
