package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.standins.engine.ExpectedCompletion;
import org.toucansaddle.standins.load.Balancer;
import org.toucansaddle.standins.load.Caller;
import org.toucansaddle.standins.load.Caller.Outcome;
import org.toucansaddle.standins.load.Caller.Result;

/**
 * Callers that send model requests and service calls through the balancer, and retry those without
 * a final result. Sending starts on construction. Thread-safe.
 */
final class RetryingLoad implements AutoCloseable {

  private static final int MAX_ATTEMPTS = 8;
  private static final int RETRY_DELAY_MILLIS = 200;

  /**
   * One request and the results of all its attempts. Immutable.
   *
   * @param modelRequest whether it is a model request, not a service call
   * @param idempotencyKey idempotency key of a service call, or empty
   * @param promptHash hash of the prompt, of a model request only
   * @param sentAtMillis time of the first attempt, in milliseconds since the epoch
   * @param endedAtMillis time of the last result, in milliseconds since the epoch
   * @param attemptResults results in order, at least one
   */
  record RequestHistory(
      boolean modelRequest,
      String idempotencyKey,
      long promptHash,
      long sentAtMillis,
      long endedAtMillis,
      List<Result> attemptResults) {

    Result lastResult() {
      return attemptResults.get(attemptResults.size() - 1);
    }

    long countResults(Outcome outcome) {
      return attemptResults.stream().filter(result -> result.outcome() == outcome).count();
    }
  }

  private final Balancer balancer;
  private final String apiKey;
  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(3));
  private final Caller caller = new Caller(client);
  private final Queue<RequestHistory> requestHistories = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger nextNumber = new AtomicInteger();
  private volatile boolean running = true;

  RetryingLoad(Balancer balancer, String apiKey, int modelCallers, int serviceCallers) {
    this.balancer = balancer;
    this.apiKey = apiKey;
    for (int i = 0; i < modelCallers; i++) {
      startCaller(this::sendModelRequest, "model-caller-" + i);
    }
    for (int i = 0; i < serviceCallers; i++) {
      startCaller(this::sendServiceCall, "service-caller-" + i);
    }
  }

  private void startCaller(Runnable task, String name) {
    Thread thread =
        new Thread(
            () -> {
              while (running) {
                task.run();
              }
            },
            name);
    threads.add(thread);
    thread.start();
  }

  private void sendModelRequest() {
    int number = nextNumber.getAndIncrement();
    String prompt = "fault question " + number + " [tokens=" + (20 + number % 80) + "]";
    sendUntilFinal(true, "", prompt);
  }

  private void sendServiceCall() {
    sendUntilFinal(false, "fault-key-" + nextNumber.getAndIncrement(), "");
    SharingScenario.sleep(RETRY_DELAY_MILLIS / 4);
  }

  /** Sends a request up to {@link #MAX_ATTEMPTS} times, until its result is final. */
  private void sendUntilFinal(boolean modelRequest, String idempotencyKey, String prompt) {
    long sentAtMillis = System.currentTimeMillis();
    List<Result> attemptResults = new ArrayList<>();
    String router = "";
    while (attemptResults.size() < MAX_ATTEMPTS) {
      router = balancer.choose(router);
      Result result =
          modelRequest
              ? caller.sendModelRequest(router, apiKey, "summary", prompt, "").join()
              : caller
                  .sendServiceCall(
                      router, apiKey, "record", "/services/defects/record", idempotencyKey)
                  .join();
      attemptResults.add(result);
      if (isFinal(result)) {
        break;
      }
      SharingScenario.sleep(RETRY_DELAY_MILLIS);
    }
    long promptHash = ExpectedCompletion.promptHash(prompt);
    long endedAtMillis = System.currentTimeMillis();
    requestHistories.add(
        new RequestHistory(
            modelRequest,
            idempotencyKey,
            promptHash,
            sentAtMillis,
            endedAtMillis,
            List.copyOf(attemptResults)));
  }

  /** Lost requests, calls that are still running and status 503 are retried. */
  private static boolean isFinal(Result result) {
    boolean stillRunning = result.status() == 409 && result.text().contains("still-running");
    boolean unavailable = result.status() == 503;
    return result.outcome() != Outcome.LOST && !stillRunning && !unavailable;
  }

  void stop() {
    running = false;
    Threads.joinAll(threads);
  }

  List<RequestHistory> requestHistories() {
    return List.copyOf(requestHistories);
  }

  @Override
  public void close() {
    running = false;
    client.close();
  }
}
