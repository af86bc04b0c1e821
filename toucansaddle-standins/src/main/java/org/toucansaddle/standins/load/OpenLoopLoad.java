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

/** Sends requests for whole answers at a rate that does not wait for them. Not thread-safe. */
public final class OpenLoopLoad implements AutoCloseable {

  private static final long HIGHEST_MICROS = 120_000_000;
  private static final int MAX_COST_FACTOR = 4;

  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(3));
  private final Caller caller = new Caller(client);
  private final SplittableRandom random;

  /** Creates a load. */
  public OpenLoopLoad(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /**
   * What became of the requests. Immutable.
   *
   * @param sent requests sent
   * @param wholeInTime whole answers within the target
   * @param refused typed refusals
   * @param other wrong or lost answers
   * @param refusalP95Millis 95th percentile of the time to a refusal, in milliseconds
   */
  public record Outcome(
      int sent, int wholeInTime, int refused, int other, double refusalP95Millis) {}

  private record Answer(Caller.Result result, long micros) {}

  /** Sends for some seconds with exponential pauses, waits for the answers and counts them. */
  public Outcome run(
      List<String> routers,
      Map<String, String> keys,
      String workClass,
      double perSecond,
      int meanTokens,
      int seconds,
      int targetMillis) {
    List<String> accounts = List.copyOf(keys.keySet());
    List<CompletableFuture<Answer>> answers = new ArrayList<>();
    long end = System.nanoTime() + seconds * 1_000_000_000L;
    long next = System.nanoTime();
    while (next < end) {
      String account = accounts.get(random.nextInt(accounts.size()));
      String router = routers.get(random.nextInt(routers.size()));
      String prompt = account + " open " + next + " [tokens=" + drawTokens(meanTokens) + "]";
      long sentAt = System.nanoTime();
      answers.add(
          caller
              .sendModelRequest(router, keys.get(account), workClass, prompt, "")
              .thenApply(r -> new Answer(r, (System.nanoTime() - sentAt) / 1_000)));
      next += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond);
      LockSupport.parkNanos(next - System.nanoTime());
    }
    return count(answers, targetMillis);
  }

  private int drawTokens(int mean) {
    double drawn = -mean * Math.log(1 - random.nextDouble());
    return (int) Math.max(1, Math.min(MAX_COST_FACTOR * mean, Math.round(drawn)));
  }

  private static Outcome count(List<CompletableFuture<Answer>> answers, int targetMillis) {
    Histogram refusals = new Histogram(HIGHEST_MICROS, 3);
    int whole = 0;
    int refused = 0;
    int other = 0;
    for (CompletableFuture<Answer> future : answers) {
      Answer answer = future.join();
      Caller.Outcome outcome = answer.result().outcome();
      if (outcome == Caller.Outcome.WHOLE) {
        whole += answer.micros() <= targetMillis * 1_000L ? 1 : 0;
      } else if (outcome == Caller.Outcome.PROBLEM) {
        refused++;
        refusals.recordValue(Math.min(HIGHEST_MICROS, answer.micros()));
      } else {
        other++;
      }
    }
    double p95 = refusals.getValueAtPercentile(95) / 1e3;
    return new Outcome(answers.size(), whole, refused, other, p95);
  }

  @Override
  public void close() {
    client.close();
  }
}
