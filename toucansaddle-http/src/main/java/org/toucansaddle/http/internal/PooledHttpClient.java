package org.toucansaddle.http.internal;

import java.io.IOException;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpConnection;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpExchange;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.http.HttpStreamHandler;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * HTTP client with pooled connections.
 *
 * <p>Each connection carries one exchange at a time and belongs to one I/O thread. A request sent
 * from one of the worker's I/O threads is processed on that thread, and so is its response.
 * Thread-safe.
 */
public final class PooledHttpClient implements HttpClient {

  private static final int SHUTDOWN_TIMEOUT_MILLIS = 500;

  private final HttpClientSettings settings;
  private final XnioWorker worker;
  private final boolean ownsWorker;
  private final Map<IdleKey, Deque<PooledConnection>> idleConnections = new ConcurrentHashMap<>();

  /** Idle connections are pooled by target and by the I/O thread that they belong to. */
  private record IdleKey(String target, XnioIoThread ioThread) {}

  /** Creates a client with its own I/O threads. */
  public PooledHttpClient(HttpClientSettings settings) {
    this(settings, createWorker(settings), true);
  }

  /** Creates a client on the I/O threads of an existing worker, whose owner stops them. */
  public PooledHttpClient(HttpClientSettings settings, XnioWorker worker) {
    this(settings, worker, false);
  }

  private PooledHttpClient(HttpClientSettings settings, XnioWorker worker, boolean ownsWorker) {
    this.settings = settings;
    this.worker = worker;
    this.ownsWorker = ownsWorker;
  }

  private static XnioWorker createWorker(HttpClientSettings settings) {
    try {
      return Xnio.getInstance(PooledHttpClient.class.getClassLoader())
          .createWorker(
              OptionMap.builder()
                  .set(Options.WORKER_IO_THREADS, settings.ioThreads())
                  .set(Options.WORKER_TASK_CORE_THREADS, 1)
                  .set(Options.WORKER_TASK_MAX_THREADS, 1)
                  .set(Options.THREAD_DAEMON, true)
                  .set(Options.WORKER_NAME, "http-client")
                  .getMap());
    } catch (IOException e) {
      throw new IllegalStateException(
          "The HTTP client could not start its I/O threads (" + e.getMessage() + ").", e);
    }
  }

  @Override
  public CompletableFuture<HttpResponse> send(HttpRequest request, Duration timeout) {
    BufferedResponseHandler handler = new BufferedResponseHandler(settings.maxResponseBytes());
    HttpExchange exchange = stream(request, handler);
    XnioExecutor.Key timeoutTimer =
        worker
            .getIoThread()
            .executeAfter(
                () -> handler.onTimeout(exchange), timeout.toMillis(), TimeUnit.MILLISECONDS);
    handler
        .future()
        .whenComplete(
            (response, failure) -> {
              timeoutTimer.remove();
              if (failure != null) {
                exchange.cancel();
              }
            });
    return handler.future();
  }

  @Override
  public HttpExchange stream(HttpRequest request, HttpStreamHandler handler) {
    ClientExchangeDriver driver =
        new ClientExchangeDriver(request, handler, this::releaseConnection);
    XnioIoThread ioThread = selectIoThread();
    PooledConnection idleConnection =
        request.newConnection() ? null : acquireIdle(request.target(), ioThread);
    if (idleConnection != null) {
      runOn(ioThread, () -> driver.start(idleConnection));
    } else {
      connect(request, driver, ioThread);
    }
    return driver;
  }

  /** Returns the calling thread if it belongs to the worker, otherwise any thread of the worker. */
  private XnioIoThread selectIoThread() {
    XnioIoThread current = XnioIoThread.currentThread();
    boolean belongsToWorker = current != null && current.getWorker() == worker;
    return belongsToWorker ? current : worker.getIoThread();
  }

  private static void runOn(XnioIoThread ioThread, Runnable task) {
    if (ioThread == Thread.currentThread()) {
      task.run();
    } else {
      ioThread.execute(task);
    }
  }

  private void connect(HttpRequest request, ClientExchangeDriver driver, XnioIoThread ioThread) {
    AtomicBoolean connectCompleted = new AtomicBoolean();
    long timeoutMillis = settings.connectTimeout().toMillis();
    ioThread.executeAfter(
        () -> {
          if (connectCompleted.compareAndSet(false, true)) {
            driver.onConnectFailure(connectException(request, "timed out", null));
          }
        },
        timeoutMillis,
        TimeUnit.MILLISECONDS);
    Consumer<IOException> onFailure =
        failure -> {
          if (connectCompleted.compareAndSet(false, true)) {
            driver.onConnectFailure(connectException(request, failure.getMessage(), failure));
          }
        };
    try {
      HttpConnection.connect(
          request.target(),
          ioThread,
          connection -> {
            if (connectCompleted.compareAndSet(false, true)) {
              driver.start(new PooledConnection(request.target(), connection, ioThread));
            } else {
              connection.close();
            }
          },
          onFailure);
    } catch (IllegalArgumentException e) {
      onFailure.accept(new IOException("not of the form host:port: " + request.target(), e));
    }
  }

  private static HttpException connectException(
      HttpRequest request, String reason, Throwable cause) {
    return new HttpException(
        HttpException.Kind.CONNECT,
        false,
        "Cannot connect to "
            + request.target()
            + " ("
            + reason
            + "). Check that a server listens at this address, for example with GET /healthz.",
        cause);
  }

  private PooledConnection acquireIdle(String target, XnioIoThread ioThread) {
    Deque<PooledConnection> connections = idleConnections.get(new IdleKey(target, ioThread));
    if (connections == null) {
      return null;
    }
    PooledConnection connection = connections.pollFirst();
    while (connection != null) {
      if (connection.isReusable(settings.maxIdleTime(), settings.maxConnectionAge())) {
        return connection;
      }
      connection.close();
      connection = connections.pollFirst();
    }
    return null;
  }

  private void releaseConnection(PooledConnection connection) {
    if (!connection.isReusable(settings.maxIdleTime(), settings.maxConnectionAge())) {
      connection.close();
      return;
    }
    connection.markIdle();
    IdleKey key = new IdleKey(connection.target(), connection.ioThread());
    idleConnections
        .computeIfAbsent(key, unused -> new ConcurrentLinkedDeque<>())
        .addFirst(connection);
  }

  @Override
  public void closeIdleConnections(String target) {
    for (IdleKey key : idleConnections.keySet()) {
      if (key.target().equals(target)) {
        closeIdleConnections(key);
      }
    }
  }

  private void closeIdleConnections(IdleKey key) {
    Deque<PooledConnection> connections = idleConnections.remove(key);
    if (connections == null) {
      return;
    }
    // Polled rather than iterated over: one that another thread polls belongs to its exchange.
    for (PooledConnection c = connections.pollFirst(); c != null; c = connections.pollFirst()) {
      c.close();
    }
  }

  @Override
  public void close() {
    idleConnections.keySet().forEach(this::closeIdleConnections);
    if (!ownsWorker) {
      return;
    }
    worker.shutdownNow();
    try {
      worker.awaitTermination(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
