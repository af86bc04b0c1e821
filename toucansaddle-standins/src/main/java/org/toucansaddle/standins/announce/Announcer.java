package org.toucansaddle.standins.announce;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;

/**
 * Announces an upstream once a second to one router, as the platform's balancer would choose it.
 *
 * <p>Thread-safe.
 */
public final class Announcer implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofMillis(400);
  private static final int PAUSE_MILLIS = 1_000;
  private static final int OK = 200;

  private final List<String> routers;
  private final Supplier<ObjectNode> content;
  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(1));
  private final Thread thread;
  private volatile boolean closed;

  /** Starts announcing what {@code content} gives. */
  public Announcer(List<String> routers, Supplier<ObjectNode> content) {
    this.routers = List.copyOf(routers);
    this.content = content;
    this.thread = new Thread(this::run, "announcer");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    while (!closed) {
      announce();
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void announce() {
    String json = content.get().toString();
    List<String> order = new ArrayList<>(routers);
    Collections.shuffle(order);
    for (String router : order) {
      try {
        HttpRequest call = HttpRequest.post(router, "/v1/upstreams/announce", json);
        HttpResponse reply = client.send(call, TIMEOUT).join();
        if (reply.status() == OK) {
          return;
        }
      } catch (CompletionException e) {
        // The next router is tried, as a balancer would do.
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    client.close();
  }
}
