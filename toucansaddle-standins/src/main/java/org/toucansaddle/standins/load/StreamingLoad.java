package org.toucansaddle.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;

/**
 * Sends requests with streamed responses at a fixed rate, to routers or directly to engines.
 *
 * <p>Results accumulate over the runs until {@link #reset}. Not thread-safe.
 */
public final class StreamingLoad implements AutoCloseable {

  private static final long MAX_TRACKABLE_MICROS = 60_000_000;
  private static final int RESPONSE_TIMEOUT_SECONDS = 20;

  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(3));
  private final Histogram firstTokenMicros = new Histogram(MAX_TRACKABLE_MICROS, 3);
  private final Histogram tokenGapMicros = new Histogram(MAX_TRACKABLE_MICROS, 3);
  private long sent;
  private long completed;

  /**
   * Sends requests for {@code durationSeconds} to the targets in turn, then waits for the
   * responses.
   *
   * @param targets addresses of routers or engines
   * @param apiKey API key of the account
   * @param tokens length of each response, in tokens
   */
  public void run(
      List<String> targets,
      String apiKey,
      String workClass,
      int requestsPerSecond,
      int tokens,
      int durationSeconds) {
    List<CompletableFuture<Boolean>> responses = new ArrayList<>();
    long intervalNanos = 1_000_000_000L / requestsPerSecond;
    long nextNanos = System.nanoTime();
    for (int i = 0; i < requestsPerSecond * durationSeconds; i++) {
      String target = targets.get(i % targets.size());
      responses.add(
          send(target, apiKey, workClass, "stream " + i + " [tokens=" + tokens + "]", tokens));
      nextNanos += intervalNanos;
      long waitNanos = nextNanos - System.nanoTime();
      if (waitNanos > 0) {
        LockSupport.parkNanos(waitNanos);
      }
    }
    sent += responses.size();
    completed += responses.stream().filter(CompletableFuture::join).count();
  }

  private CompletableFuture<Boolean> send(
      String target, String apiKey, String workClass, String prompt, int tokens) {
    String body = "{\"prompt\":\"" + prompt + "\",\"stream\":true,\"user\":\"direct\"}";
    StreamedResponseHandler handler =
        new StreamedResponseHandler(firstTokenMicros, tokenGapMicros, tokens);
    client.stream(
        HttpRequest.post(target, "/v1/completions", body)
            .withHeader("Authorization", "Bearer " + apiKey)
            .withHeader("X-Work-Class", workClass),
        handler);
    return handler
        .completion()
        .completeOnTimeout(false, RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Discards all results so far. */
  public void reset() {
    firstTokenMicros.reset();
    tokenGapMicros.reset();
    sent = 0;
    completed = 0;
  }

  /** Returns the 95th percentile of the time to the first token, in milliseconds. */
  public double firstTokenP95Millis() {
    return firstTokenMicros.getValueAtPercentile(95) / 1e3;
  }

  /** Returns the 95th percentile of the time between tokens, in milliseconds. */
  public double tokenGapP95Millis() {
    return tokenGapMicros.getValueAtPercentile(95) / 1e3;
  }

  /** Returns the fraction of requests whose response arrived complete, from 0 to 1. */
  public double completeRatio() {
    return (double) completed / Math.max(1, sent);
  }

  @Override
  public void close() {
    client.close();
  }
}
