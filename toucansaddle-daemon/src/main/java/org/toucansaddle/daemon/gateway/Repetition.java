package org.toucansaddle.daemon.gateway;

/** How often a request of a route may be executed. */
public enum Repetition {
  /** Any number of times. */
  REPEATABLE,
  /** At most once. */
  ONCE,
  /** At most once unless the route is resumable; the response is a stream of numbered events. */
  STREAM
}
