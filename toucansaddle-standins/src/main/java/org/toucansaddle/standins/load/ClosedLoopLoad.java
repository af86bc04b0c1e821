package org.toucansaddle.standins.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.standins.engine.ExpectedCompletion;

/**
 * Closed-loop load: keeps a fixed number of requests of each account in flight.
 *
 * <p>When a request completes, the next one is sent to the same router, after a delay if the
 * response was not complete. Response lengths are exponentially distributed, up to a maximum. Cost
 * hints are wrong on purpose: in turn zero, ten times the length, or absent. Thread-safe.
 */
public final class ClosedLoopLoad implements AutoCloseable {

  private static final int MAX_LENGTH_FACTOR = 8;
  private static final int RETRY_DELAY_MILLIS = 250;

  private final List<String> routers;
  private final Map<String, String> keysByAccount;
  private final String workClass;
  private final int meanTokens;
  private final long seed;
  private final SplittableRandom random;
  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(4));
  private final Caller caller = new Caller(client);
  private final Queue<RequestRecord> completed = new ConcurrentLinkedQueue<>();
  private final Map<Long, RequestRecord> inFlight = new ConcurrentHashMap<>();
  private final ScheduledExecutorService retryScheduler = Executors.newScheduledThreadPool(1);
  private final AtomicInteger nextNumber = new AtomicInteger();
  private volatile boolean stopped;

  /**
   * Creates a load that sends nothing until {@link #start}.
   *
   * @param routers addresses at which the routers accept callers
   * @param keysByAccount API keys by account name
   * @param workClass work class of all requests
   * @param meanTokens mean response length, in tokens
   * @param seed seed of the response lengths and of the order of the first requests
   */
  public ClosedLoopLoad(
      List<String> routers,
      Map<String, String> keysByAccount,
      String workClass,
      int meanTokens,
      long seed) {
    this.routers = List.copyOf(routers);
    this.keysByAccount = Map.copyOf(keysByAccount);
    this.workClass = workClass;
    this.meanTokens = meanTokens;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
  }

  /** Starts sending; the first requests of all accounts go out in an order shuffled by the seed. */
  public void start(List<AccountLoad> loads) {
    List<Runnable> initialRequests = new ArrayList<>();
    for (AccountLoad load : loads) {
      for (int i = 0; i < load.concurrency(); i++) {
        int routerIndex = load.routerIndexes().get(i % load.routerIndexes().size());
        initialRequests.add(() -> sendNext(load.account(), routerIndex));
      }
    }
    Collections.shuffle(initialRequests, new Random(seed));
    initialRequests.forEach(Runnable::run);
  }

  private void sendNext(String account, int routerIndex) {
    if (stopped) {
      return;
    }
    int tokens = sampleTokens();
    int number = nextNumber.getAndIncrement();
    String prompt = account + " request " + number + " [tokens=" + tokens + "]";
    long promptHash = ExpectedCompletion.promptHash(prompt);
    RequestRecord sent =
        new RequestRecord(
            account, promptHash, tokens, System.currentTimeMillis(), Long.MAX_VALUE, null);
    inFlight.put(promptHash, sent);
    caller
        .sendModelRequest(
            routers.get(routerIndex),
            keysByAccount.get(account),
            workClass,
            prompt,
            costHint(number, tokens))
        .thenAccept(result -> onCompleted(sent, routerIndex, result));
  }

  private synchronized int sampleTokens() {
    double sample = -meanTokens * Math.log(1 - random.nextDouble());
    return (int) Math.max(1, Math.min(MAX_LENGTH_FACTOR * meanTokens, Math.round(sample)));
  }

  private static String costHint(int number, int tokens) {
    return switch (number % 3) {
      case 0 -> "0";
      case 1 -> Integer.toString(10 * tokens);
      default -> "";
    };
  }

  private void onCompleted(RequestRecord sent, int routerIndex, Caller.Result result) {
    inFlight.remove(sent.promptHash());
    completed.add(
        new RequestRecord(
            sent.account(),
            sent.promptHash(),
            sent.requestedTokens(),
            sent.sentAtMillis(),
            System.currentTimeMillis(),
            result));
    if (result.outcome() == Caller.Outcome.WHOLE) {
      sendNext(sent.account(), routerIndex);
    } else if (!stopped) {
      retryScheduler.schedule(
          () -> sendNext(sent.account(), routerIndex), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Stops sending until {@link #resume}. Requests in flight continue.
   *
   * <p>A request that completes while paused is not followed by another; {@link #start} starts new
   * loops.
   */
  public void pause() {
    stopped = true;
  }

  /** Permits sending again after {@link #pause}. */
  public void resume() {
    stopped = false;
  }

  /** Stops sending. Requests in flight continue. */
  public void stop() {
    stopped = true;
  }

  /** Returns all requests so far, completed or in flight. */
  public List<RequestRecord> records() {
    List<RequestRecord> records = new ArrayList<>(completed);
    records.addAll(inFlight.values());
    return records;
  }

  @Override
  public void close() {
    stopped = true;
    retryScheduler.shutdownNow();
    client.close();
  }
}
