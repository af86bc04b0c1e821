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
 * Callers that ask models and record defects through the balancer, and send again what got no
 * answer. Thread-safe.
 */
final class FaultLoad implements AutoCloseable {

  private static final int MAX_SENDINGS = 8;
  private static final int PAUSE_MILLIS = 200;

  /** One request and all answers to its sendings. Immutable. */
  record Story(
      boolean model, String key, long promptHash, long sentAt, long endedAt, List<Result> results) {

    Result last() {
      return results.get(results.size() - 1);
    }

    long answers(Outcome outcome) {
      return results.stream().filter(r -> r.outcome() == outcome).count();
    }
  }

  private final Balancer balancer;
  private final String key;
  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(3));
  private final Caller caller = new Caller(client);
  private final Queue<Story> stories = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger nextNumber = new AtomicInteger();
  private volatile boolean running = true;

  FaultLoad(Balancer balancer, String key, int modelCallers, int serviceCallers) {
    this.balancer = balancer;
    this.key = key;
    for (int i = 0; i < modelCallers; i++) {
      start(this::askOne, "model-caller-" + i);
    }
    for (int i = 0; i < serviceCallers; i++) {
      start(this::recordOne, "service-caller-" + i);
    }
  }

  private void start(Runnable action, String name) {
    Thread thread =
        new Thread(
            () -> {
              while (running) {
                action.run();
              }
            },
            name);
    threads.add(thread);
    thread.start();
  }

  private void askOne() {
    int number = nextNumber.getAndIncrement();
    String prompt = "fault question " + number + " [tokens=" + (20 + number % 80) + "]";
    tell(true, "", prompt);
  }

  private void recordOne() {
    tell(false, "fault-key-" + nextNumber.getAndIncrement(), "");
    SharingScenario.sleep(PAUSE_MILLIS / 4);
  }

  /** Sends until there is a whole answer or a final word. */
  private void tell(boolean model, String idempotencyKey, String prompt) {
    long sentAt = System.currentTimeMillis();
    List<Result> results = new ArrayList<>();
    String router = "";
    while (results.size() < MAX_SENDINGS) {
      router = balancer.choose(router);
      Result result =
          model
              ? caller.ask(router, key, "summary", prompt, "").join()
              : caller
                  .record(router, key, "record", "/services/defects/record", idempotencyKey)
                  .join();
      results.add(result);
      if (isFinal(result)) {
        break;
      }
      SharingScenario.sleep(PAUSE_MILLIS);
    }
    long hash = ExpectedCompletion.promptHash(prompt);
    long endedAt = System.currentTimeMillis();
    stories.add(new Story(model, idempotencyKey, hash, sentAt, endedAt, List.copyOf(results)));
  }

  /** A lost answer and a call still running are sent again; everything else is a final word. */
  private static boolean isFinal(Result result) {
    boolean stillRunning = result.status() == 409 && result.text().contains("still-running");
    boolean unavailable = result.status() == 503;
    return result.outcome() != Outcome.LOST && !stillRunning && !unavailable;
  }

  void stop() {
    running = false;
    Threads.joinAll(threads);
  }

  List<Story> stories() {
    return List.copyOf(stories);
  }

  @Override
  public void close() {
    running = false;
    client.close();
  }
}
