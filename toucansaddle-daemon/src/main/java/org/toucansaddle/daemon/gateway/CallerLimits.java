package org.toucansaddle.daemon.gateway;

/**
 * Limits on the requests and connections of callers. Immutable.
 *
 * @param maxHeaderBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis time limit for receiving a request head, in milliseconds
 * @param idleTimeoutMillis time after which an unused connection is closed, in milliseconds
 * @param tokensPerSecond total throughput of all engines, in tokens per second; 0 if not known
 */
public record CallerLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    int headerTimeoutMillis,
    int idleTimeoutMillis,
    long tokensPerSecond) {

  /** Returns the default limits, which suit callers of small requests. */
  public static CallerLimits defaults() {
    return new CallerLimits(16 << 10, 4 << 20, 3_000, 15_000, 0);
  }
}
