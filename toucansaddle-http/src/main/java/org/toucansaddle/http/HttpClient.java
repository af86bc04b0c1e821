package org.toucansaddle.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.http.internal.UndertowHttpClient;
import org.xnio.XnioWorker;

/**
 * Sends HTTP requests and streams the answers.
 *
 * <pre>{@code
 * try (HttpClient client = HttpClient.create(HttpClientSettings.defaults())) {
 *   client.send(HttpRequest.get("127.0.0.1:8080", "/healthz"), Duration.ofSeconds(2))
 *       .thenAccept(reply -> System.out.println(reply.status()));
 * }
 * }</pre>
 *
 * <p>Thread-safe. Connections are reused; one that has been idle or open for too long is closed
 * instead, because something between the two ends may have lost track of it.
 */
public interface HttpClient extends AutoCloseable {

  /** Creates a client with its own I/O threads. */
  static HttpClient create(HttpClientSettings settings) {
    return new UndertowHttpClient(settings);
  }

  /**
   * Creates a client that uses a server's I/O threads.
   *
   * <p>A call made on one of these threads stays on it, and so does its answer. The worker's owner
   * ends the threads.
   */
  static HttpClient createWithWorker(XnioWorker worker, HttpClientSettings settings) {
    return new UndertowHttpClient(settings, worker);
  }

  /** Sends a request and returns its whole answer, or an {@link HttpException}. */
  CompletableFuture<HttpResponse> send(HttpRequest call, Duration timeout);

  /** Sends a request and gives its answer to the handler as it arrives. */
  HttpExchange stream(HttpRequest call, HttpStreamHandler handler);

  /** Closes idle connections to a target. */
  void closeIdleConnections(String target);

  @Override
  void close();
}
