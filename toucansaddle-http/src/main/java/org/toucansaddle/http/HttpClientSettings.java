package org.toucansaddle.http;

import java.time.Duration;

/**
 * Settings of a client; change one with a {@code with} method. Immutable.
 *
 * @param ioThreads number of I/O threads
 * @param connectTimeout longest time to make a connection
 * @param maxIdle longest time a connection is kept unused
 * @param maxAge longest time a connection is reused
 * @param maxReplyBytes longest whole answer that {@link HttpClient#send} accepts
 */
public record HttpClientSettings(
    int ioThreads,
    Duration connectTimeout,
    Duration maxIdleTime,
    Duration maxConnectionAge,
    int maxResponseBytes) {

  /** Returns settings for a program that makes few calls. */
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
