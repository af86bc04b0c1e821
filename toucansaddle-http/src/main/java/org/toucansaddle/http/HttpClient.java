package org.toucansaddle.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.http.internal.PooledHttpClient;
import org.xnio.XnioWorker;

/**
 * Sends HTTP requests and streams the responses.
 *
 * <pre>{@code
 * try (HttpClient client = HttpClient.create(HttpClientSettings.defaults())) {
 *   client.send(HttpRequest.get("127.0.0.1:8080", "/healthz"), Duration.ofSeconds(2))
 *       .thenAccept(response -> System.out.println(response.status()));
 * }
 * }</pre>
 *
 * <p>Thread-safe. Connections are reused. One that has been idle or open for too long is closed
 * instead, because a middlebox on the path may have dropped its state.
 */
public interface HttpClient extends AutoCloseable {

  /** Creates a client with its own I/O threads, which {@link #close} stops. */
  static HttpClient create(HttpClientSettings settings) {
    return new PooledHttpClient(settings);
  }

  /**
   * Creates a client that uses the I/O threads of an existing worker.
   *
   * <p>A request sent from one of these threads is processed on it, and so is its response. The
   * owner of the worker stops the threads.
   */
  static HttpClient createWithWorker(XnioWorker worker, HttpClientSettings settings) {
    return new PooledHttpClient(settings, worker);
  }

  /**
   * Sends a request and returns its complete response.
   *
   * <p>The future fails with an {@link HttpException} if the exchange fails or takes longer than
   * the timeout, or if the response is larger than {@link HttpClientSettings#maxResponseBytes}.
   */
  CompletableFuture<HttpResponse> send(HttpRequest request, Duration timeout);

  /** Sends a request and passes its response to the handler as it arrives. */
  HttpExchange stream(HttpRequest request, HttpStreamHandler handler);

  /** Closes the idle connections to a target, given as host and port. */
  void closeIdleConnections(String target);

  @Override
  void close();
}
