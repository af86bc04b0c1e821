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

/** Sends streamed requests at a fixed rate, to routers or straight to engines. Not thread-safe. */
public final class StreamingLoad implements AutoCloseable {

  private static final long HIGHEST_MICROS = 60_000_000;
  private static final int ANSWER_SECONDS = 20;

  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(3));
  private final Histogram firstToken = new Histogram(HIGHEST_MICROS, 3);
  private final Histogram tokenGap = new Histogram(HIGHEST_MICROS, 3);
  private long sent;
  private long whole;

  /** Sends for some seconds and waits for the answers. */
  public void run(
      List<String> targets, String key, String workClass, int perSecond, int tokens, int seconds) {
    List<CompletableFuture<Boolean>> answers = new ArrayList<>();
    long interval = 1_000_000_000L / perSecond;
    long next = System.nanoTime();
    for (int i = 0; i < perSecond * seconds; i++) {
      String target = targets.get(i % targets.size());
      answers.add(send(target, key, workClass, "stream " + i + " [tokens=" + tokens + "]", tokens));
      next += interval;
      long wait = next - System.nanoTime();
      if (wait > 0) {
        LockSupport.parkNanos(wait);
      }
    }
    sent += answers.size();
    whole += answers.stream().filter(CompletableFuture::join).count();
  }

  private CompletableFuture<Boolean> send(
      String target, String key, String workClass, String prompt, int tokens) {
    String body = "{\"prompt\":\"" + prompt + "\",\"stream\":true,\"user\":\"direct\"}";
    StreamedRequest request = new StreamedRequest(firstToken, tokenGap, tokens);
    client.stream(
        HttpRequest.post(target, "/v1/completions", body)
            .withHeader("Authorization", "Bearer " + key)
            .withHeader("X-Work-Class", workClass),
        request);
    return request.whole().completeOnTimeout(false, ANSWER_SECONDS, TimeUnit.SECONDS);
  }

  /** Forgets what was measured so far. */
  public void reset() {
    firstToken.reset();
    tokenGap.reset();
    sent = 0;
    whole = 0;
  }

  /** Returns the 95th percentile of the time to the first token, in milliseconds. */
  public double firstTokenP95Millis() {
    return firstToken.getValueAtPercentile(95) / 1e3;
  }

  /** Returns the 95th percentile of the time between tokens, in milliseconds. */
  public double tokenGapP95Millis() {
    return tokenGap.getValueAtPercentile(95) / 1e3;
  }

  /** Returns the share of requests whose answer came whole. */
  public double wholeShare() {
    return (double) whole / Math.max(1, sent);
  }

  @Override
  public void close() {
    client.close();
  }
}
