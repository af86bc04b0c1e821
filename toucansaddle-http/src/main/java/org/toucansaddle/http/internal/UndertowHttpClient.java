package org.toucansaddle.http.internal;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpExchange;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.http.HttpStreamHandler;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * HTTP client over Undertow's client.
 *
 * <p>Each connection carries one exchange at a time and belongs to one I/O thread. A call made on
 * one of the worker's I/O threads stays on that thread, so its answer arrives there. Thread-safe.
 */
public final class UndertowHttpClient implements HttpClient {

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int CLOSE_MILLIS = 500;

  private final HttpClientSettings settings;
  private final XnioWorker worker;
  private final ByteBufferPool buffers;
  private final boolean ownsWorker;
  private final Map<IdleKey, Deque<PooledConnection>> idle = new ConcurrentHashMap<>();

  /** Idle connections are kept for the thread that they belong to. */
  private record IdleKey(String target, XnioIoThread ioThread) {}

  /** Starts a client with its own I/O threads. */
  public UndertowHttpClient(HttpClientSettings settings) {
    this(settings, createWorker(settings), true);
  }

  /** Starts a client on the I/O threads of a server, which also ends them. */
  public UndertowHttpClient(HttpClientSettings settings, XnioWorker worker) {
    this(settings, worker, false);
  }

  private UndertowHttpClient(HttpClientSettings settings, XnioWorker worker, boolean ownsWorker) {
    this.settings = settings;
    this.worker = worker;
    this.ownsWorker = ownsWorker;
    this.buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4);
  }

  private static XnioWorker createWorker(HttpClientSettings settings) {
    try {
      return Xnio.getInstance(UndertowHttpClient.class.getClassLoader())
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
  public CompletableFuture<HttpResponse> send(HttpRequest call, Duration timeout) {
    BufferedResponseHandler handler = new BufferedResponseHandler(settings.maxResponseBytes());
    HttpExchange exchange = stream(call, handler);
    XnioExecutor.Key timer =
        worker
            .getIoThread()
            .executeAfter(
                () -> handler.onTimeout(exchange), timeout.toMillis(), TimeUnit.MILLISECONDS);
    handler.future().whenComplete((reply, failure) -> timer.remove());
    return handler.future();
  }

  @Override
  public HttpExchange stream(HttpRequest call, HttpStreamHandler handler) {
    ClientExchangeDriver driver = new ClientExchangeDriver(call, handler, this::release);
    XnioIoThread ioThread = ioThread();
    PooledConnection reused = call.newConnection() ? null : takeIdle(call.target(), ioThread);
    if (reused != null) {
      run(ioThread, () -> driver.start(reused));
    } else {
      connect(call, driver, ioThread);
    }
    return driver;
  }

  /** Returns the calling thread if it is one of the worker's, else any of them. */
  private XnioIoThread ioThread() {
    XnioIoThread current = XnioIoThread.currentThread();
    boolean own = current != null && current.getWorker() == worker;
    return own ? current : worker.getIoThread();
  }

  private static void run(XnioIoThread ioThread, Runnable task) {
    if (ioThread == Thread.currentThread()) {
      task.run();
    } else {
      ioThread.execute(task);
    }
  }

  private void connect(HttpRequest call, ClientExchangeDriver driver, XnioIoThread ioThread) {
    AtomicBoolean settled = new AtomicBoolean();
    long timeoutMillis = settings.connectTimeout().toMillis();
    ioThread.executeAfter(
        () -> {
          if (settled.compareAndSet(false, true)) {
            driver.onConnectFailure(connectFailure(call, "timed out", null));
          }
        },
        timeoutMillis,
        TimeUnit.MILLISECONDS);
    ClientCallback<ClientConnection> callback =
        new ClientCallback<>() {
          @Override
          public void completed(ClientConnection connection) {
            if (settled.compareAndSet(false, true)) {
              driver.start(new PooledConnection(call.target(), connection, ioThread));
            } else {
              IoUtils.safeClose(connection);
            }
          }

          @Override
          public void failed(IOException e) {
            if (settled.compareAndSet(false, true)) {
              driver.onConnectFailure(connectFailure(call, e.getMessage(), e));
            }
          }
        };
    OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
    try {
      URI uri = URI.create("http://" + call.target() + "/");
      UndertowClient.getInstance().connect(callback, uri, ioThread, buffers, options);
    } catch (IllegalArgumentException e) {
      callback.failed(new IOException("not a host and port: " + call.target(), e));
    }
  }

  private static HttpException connectFailure(HttpRequest call, String why, Throwable cause) {
    return new HttpException(
        HttpException.Kind.CONNECT,
        false,
        "No connection to "
            + call.target()
            + " ("
            + why
            + "). Check that a server listens there, for example with a GET of /healthz.",
        cause);
  }

  private PooledConnection takeIdle(String target, XnioIoThread ioThread) {
    Deque<PooledConnection> queue = idle.get(new IdleKey(target, ioThread));
    if (queue == null) {
      return null;
    }
    PooledConnection connection = queue.pollFirst();
    while (connection != null) {
      if (connection.isReusable(settings.maxIdleTime(), settings.maxConnectionAge())) {
        return connection;
      }
      connection.close();
      connection = queue.pollFirst();
    }
    return null;
  }

  private void release(PooledConnection connection) {
    if (!connection.isReusable(settings.maxIdleTime(), settings.maxConnectionAge())) {
      connection.close();
      return;
    }
    connection.markIdle();
    IdleKey key = new IdleKey(connection.target(), connection.ioThread());
    idle.computeIfAbsent(key, k -> new ConcurrentLinkedDeque<>()).addFirst(connection);
  }

  @Override
  public void closeIdleConnections(String target) {
    for (IdleKey key : idle.keySet()) {
      if (key.target().equals(target)) {
        dropIdle(key);
      }
    }
  }

  private void dropIdle(IdleKey key) {
    Deque<PooledConnection> queue = idle.remove(key);
    if (queue != null) {
      queue.forEach(PooledConnection::close);
    }
  }

  @Override
  public void close() {
    idle.keySet().forEach(this::dropIdle);
    if (!ownsWorker) {
      return;
    }
    worker.shutdownNow();
    try {
      worker.awaitTermination(CLOSE_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    buffers.close();
  }
}
