package org.toucansaddle.http;

import java.time.Duration;

/**
 * Settings of an HTTP client; {@code with} methods return changed copies. Immutable.
 *
 * @param ioThreads number of I/O threads
 * @param connectTimeout maximum time to establish a connection
 * @param maxIdleTime idle time after which a connection is no longer reused
 * @param maxConnectionAge age after which a connection is no longer reused
 * @param maxResponseBytes maximum body size of a response that {@link HttpClient#send} accepts
 */
public record HttpClientSettings(
    int ioThreads,
    Duration connectTimeout,
    Duration maxIdleTime,
    Duration maxConnectionAge,
    int maxResponseBytes) {

  /** Returns settings for a program that sends few requests. */
  public static HttpClientSettings defaults() {
    return new HttpClientSettings(
        2, Duration.ofSeconds(1), Duration.ofSeconds(20), Duration.ofMinutes(5), 16 << 20);
  }

  /** Returns these settings with another number of I/O threads. */
  public HttpClientSettings withIoThreads(int threads) {
    return new HttpClientSettings(
        threads, connectTimeout, maxIdleTime, maxConnectionAge, maxResponseBytes);
  }
}
