package org.toucansaddle.daemon.gateway;

/**
 * What callers may send. Immutable.
 *
 * @param maxHeaderBytes longest request head, in bytes
 * @param maxBodyBytes longest request body, in bytes
 * @param headerTimeoutMillis longest time to send a request head, in milliseconds
 * @param idleTimeoutMillis longest time a connection stays unused, in milliseconds
 * @param tokensPerSecond tokens that all engines together serve in a second; 0 if not known
 */
public record CallerLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    int headerTimeoutMillis,
    int idleTimeoutMillis,
    long tokensPerSecond) {

  /** Returns limits for callers of small requests. */
  public static CallerLimits defaults() {
    return new CallerLimits(16 << 10, 4 << 20, 3_000, 15_000, 0);
  }
}
