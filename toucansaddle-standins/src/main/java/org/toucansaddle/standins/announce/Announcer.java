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
 * Announces an upstream once a second to a random router, as behind the platform's load balancer.
 *
 * <p>If a router does not accept the announcement within the request timeout, the others are tried
 * in random order; if all fail, the announcement is skipped until the next interval. Announcing
 * runs on a daemon thread until {@link #close}. Thread-safe.
 */
public final class Announcer implements AutoCloseable {

  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(400);
  private static final int INTERVAL_MILLIS = 1_000;
  private static final int OK = 200;

  private final List<String> routers;
  private final Supplier<ObjectNode> announcement;
  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(1));
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Starts announcing.
   *
   * @param routers caller addresses of the routers, as {@code host:port}
   * @param announcement supplies the current announcement; called on the announcer's thread
   */
  public Announcer(List<String> routers, Supplier<ObjectNode> announcement) {
    this.routers = List.copyOf(routers);
    this.announcement = announcement;
    this.thread = new Thread(this::run, "announcer");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    while (!closed) {
      announce();
      try {
        Thread.sleep(INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void announce() {
    String json = announcement.get().toString();
    List<String> candidates = new ArrayList<>(routers);
    Collections.shuffle(candidates);
    for (String router : candidates) {
      try {
        HttpRequest call = HttpRequest.post(router, "/v1/upstreams/announce", json);
        HttpResponse response = client.send(call, REQUEST_TIMEOUT).join();
        if (response.status() == OK) {
          return;
        }
      } catch (CompletionException e) {
        // Falls through to the next router, as a load balancer fails over.
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
