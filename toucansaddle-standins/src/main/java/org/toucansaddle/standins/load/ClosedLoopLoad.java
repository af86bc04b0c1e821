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
 * Keeps a number of requests of each account under way: when one ends the next is sent.
 *
 * <p>Costs are exponential; cost hints are wrong in turn by 0, 10 times, or absent. Thread-safe.
 */
public final class ClosedLoopLoad implements AutoCloseable {

  private static final int MAX_COST_FACTOR = 8;
  private static final int REFUSED_PAUSE_MILLIS = 250;

  private final List<String> routers;
  private final Map<String, String> keys;
  private final String workClass;
  private final int meanTokens;
  private final long seed;
  private final SplittableRandom random;
  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(4));
  private final Caller caller = new Caller(client);
  private final Queue<RequestRecord> ended = new ConcurrentLinkedQueue<>();
  private final Map<Long, RequestRecord> open = new ConcurrentHashMap<>();
  private final ScheduledExecutorService pauses = Executors.newScheduledThreadPool(1);
  private final AtomicInteger nextNumber = new AtomicInteger();
  private volatile boolean stopped;

  /**
   * Creates a load that has not begun.
   *
   * @param routers caller addresses
   * @param keys keys by account
   * @param meanTokens mean length of an answer, in tokens
   */
  public ClosedLoopLoad(
      List<String> routers, Map<String, String> keys, String workClass, int meanTokens, long seed) {
    this.routers = List.copyOf(routers);
    this.keys = Map.copyOf(keys);
    this.workClass = workClass;
    this.meanTokens = meanTokens;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
  }

  /** Begins sending, the accounts' requests in a mixed order. */
  public void begin(List<AccountLoad> loads) {
    List<Runnable> first = new ArrayList<>();
    for (AccountLoad load : loads) {
      for (int i = 0; i < load.outstanding(); i++) {
        int router = load.routers().get(i % load.routers().size());
        first.add(() -> sendNext(load.account(), router));
      }
    }
    Collections.shuffle(first, new Random(seed));
    first.forEach(Runnable::run);
  }

  private void sendNext(String account, int router) {
    if (stopped) {
      return;
    }
    int tokens = drawTokens();
    int number = nextNumber.getAndIncrement();
    String prompt = account + " request " + number + " [tokens=" + tokens + "]";
    long hash = ExpectedCompletion.promptHash(prompt);
    RequestRecord sent =
        new RequestRecord(account, hash, tokens, System.currentTimeMillis(), Long.MAX_VALUE, null);
    open.put(hash, sent);
    caller
        .ask(routers.get(router), keys.get(account), workClass, prompt, hint(number, tokens))
        .thenAccept(result -> onEnded(sent, router, result));
  }

  private synchronized int drawTokens() {
    double drawn = -meanTokens * Math.log(1 - random.nextDouble());
    return (int) Math.max(1, Math.min(MAX_COST_FACTOR * meanTokens, Math.round(drawn)));
  }

  private static String hint(int number, int tokens) {
    return switch (number % 3) {
      case 0 -> "0";
      case 1 -> Integer.toString(10 * tokens);
      default -> "";
    };
  }

  private void onEnded(RequestRecord sent, int router, Caller.Result result) {
    open.remove(sent.promptHash());
    ended.add(
        new RequestRecord(
            sent.account(),
            sent.promptHash(),
            sent.tokens(),
            sent.sentAt(),
            System.currentTimeMillis(),
            result));
    if (result.outcome() == Caller.Outcome.WHOLE) {
      sendNext(sent.account(), router);
    } else if (!stopped) {
      pauses.schedule(
          () -> sendNext(sent.account(), router), REFUSED_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Sends no more requests until {@link #resume}; those under way go on. */
  public void pause() {
    stopped = true;
  }

  /** Allows requests again. */
  public void resume() {
    stopped = false;
  }

  /** Sends no more requests. */
  public void stop() {
    stopped = true;
  }

  /** Returns all requests so far, ended or not. */
  public List<RequestRecord> records() {
    List<RequestRecord> all = new ArrayList<>(ended);
    all.addAll(open.values());
    return all;
  }

  @Override
  public void close() {
    stopped = true;
    pauses.shutdownNow();
    client.close();
  }
}
