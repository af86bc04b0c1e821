package org.toucansaddle.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;

/**
 * Open-loop load: sends requests at a given mean rate, independent of the responses.
 *
 * <p>Intervals and response lengths are exponentially distributed, lengths up to a maximum. Not
 * thread-safe.
 */
public final class OpenLoopLoad implements AutoCloseable {

  private static final long MAX_TRACKABLE_MICROS = 120_000_000;
  private static final int MAX_LENGTH_FACTOR = 4;

  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(3));
  private final Caller caller = new Caller(client);
  private final SplittableRandom random;

  /** Creates a load whose random choices follow {@code seed}. */
  public OpenLoopLoad(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /**
   * Counts of the outcomes of the requests. Immutable.
   *
   * @param sent requests sent
   * @param wholeInTime complete responses within the target time
   * @param refused refusals and failures reported as a typed problem
   * @param other wrong or lost responses
   * @param refusalP95Millis 95th percentile of the time to such a problem, in milliseconds
   */
  public record Outcome(
      int sent, int wholeInTime, int refused, int other, double refusalP95Millis) {}

  private record TimedResult(Caller.Result result, long elapsedMicros) {}

  /**
   * Sends requests for {@code durationSeconds}, then waits for all responses.
   *
   * @param routers addresses at which the routers accept callers
   * @param keysByAccount API keys by account name
   * @param workClass work class of all requests
   * @param requestsPerSecond mean rate
   * @param meanTokens mean response length, in tokens
   * @param durationSeconds time during which requests are sent
   * @param targetMillis time limit for a response to count as in time
   */
  public Outcome run(
      List<String> routers,
      Map<String, String> keysByAccount,
      String workClass,
      double requestsPerSecond,
      int meanTokens,
      int durationSeconds,
      int targetMillis) {
    List<String> accounts = List.copyOf(keysByAccount.keySet());
    List<CompletableFuture<TimedResult>> responses = new ArrayList<>();
    long endNanos = System.nanoTime() + durationSeconds * 1_000_000_000L;
    long nextNanos = System.nanoTime();
    while (nextNanos < endNanos) {
      String account = accounts.get(random.nextInt(accounts.size()));
      String router = routers.get(random.nextInt(routers.size()));
      String prompt = account + " open " + nextNanos + " [tokens=" + sampleTokens(meanTokens) + "]";
      long sentAtNanos = System.nanoTime();
      responses.add(
          caller
              .sendModelRequest(router, keysByAccount.get(account), workClass, prompt, "")
              .thenApply(r -> new TimedResult(r, (System.nanoTime() - sentAtNanos) / 1_000)));
      nextNanos += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / requestsPerSecond);
      LockSupport.parkNanos(nextNanos - System.nanoTime());
    }
    return summarize(responses, targetMillis);
  }

  private int sampleTokens(int meanTokens) {
    double sample = -meanTokens * Math.log(1 - random.nextDouble());
    return (int) Math.max(1, Math.min(MAX_LENGTH_FACTOR * meanTokens, Math.round(sample)));
  }

  private static Outcome summarize(
      List<CompletableFuture<TimedResult>> responses, int targetMillis) {
    Histogram refusals = new Histogram(MAX_TRACKABLE_MICROS, 3);
    int completeInTime = 0;
    int refused = 0;
    int other = 0;
    for (CompletableFuture<TimedResult> future : responses) {
      TimedResult timedResult = future.join();
      Caller.Outcome outcome = timedResult.result().outcome();
      if (outcome == Caller.Outcome.WHOLE) {
        completeInTime += timedResult.elapsedMicros() <= targetMillis * 1_000L ? 1 : 0;
      } else if (outcome == Caller.Outcome.PROBLEM) {
        refused++;
        refusals.recordValue(Math.min(MAX_TRACKABLE_MICROS, timedResult.elapsedMicros()));
      } else {
        other++;
      }
    }
    double p95 = refusals.getValueAtPercentile(95) / 1e3;
    return new Outcome(responses.size(), completeInTime, refused, other, p95);
  }

  @Override
  public void close() {
    client.close();
  }
}
