package org.toucansaddle.daemon.internal.gateway.relay;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.toucansaddle.http.HttpConnection;
import org.xnio.XnioIoThread;

/**
 * Pool of connections to upstreams that belongs to one I/O thread.
 *
 * <p>Confined to that thread. Each connection carries one request at a time; the most recently used
 * idle one is reused first, so that the others expire.
 */
final class UpstreamConnectionPool {

  /** Connect timeout; TCP retransmits a lost SYN only after one second. */
  private static final int CONNECT_TIMEOUT_MILLIS = 600;

  /** Keep-alive time of a connection if the upstream sends none. */
  private static final long DEFAULT_KEEP_ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final int MAX_IDLE_ADDRESSES = 64;

  private final XnioIoThread ioThread;
  private final ConnectOutcomes outcomes;
  private final Map<String, Deque<Connection>> idleConnections = new HashMap<>();
  private final Map<String, Integer> openCounts = new HashMap<>();

  UpstreamConnectionPool(XnioIoThread ioThread, ConnectOutcomes outcomes) {
    this.ioThread = ioThread;
    this.outcomes = outcomes;
  }

  /** A pooled connection. */
  final class Connection {
    private final String address;
    private final HttpConnection http;
    private long idleSinceNanos;
    private long keepAliveNanos = DEFAULT_KEEP_ALIVE_NANOS;

    private Connection(String address, HttpConnection http) {
      this.address = address;
      this.http = http;
      openCounts.merge(address, 1, Integer::sum);
      http.onClose(() -> openCounts.computeIfPresent(address, (key, n) -> n > 1 ? n - 1 : null));
    }

    HttpConnection http() {
      return http;
    }

    /** Returns the connection to the pool for a limited time; 0 for the default time. */
    void release(long keepAliveMillis) {
      if (!http.isOpen()) {
        return;
      }
      idleSinceNanos = System.nanoTime();
      keepAliveNanos =
          keepAliveMillis > 0
              ? TimeUnit.MILLISECONDS.toNanos(keepAliveMillis)
              : DEFAULT_KEEP_ALIVE_NANOS;
      idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>()).addFirst(this);
    }

    void close() {
      http.close();
    }

    private boolean isReusable(long now) {
      return http.isOpen() && now - idleSinceNanos < keepAliveNanos;
    }
  }

  /** Returns the number of open connections to an address. */
  int openCount(String address) {
    return openCounts.getOrDefault(address, 0);
  }

  /** Returns an idle connection, or null if there is none. */
  Connection acquireIdle(String address) {
    Deque<Connection> queue = idleConnections.get(address);
    long now = System.nanoTime();
    while (queue != null && !queue.isEmpty()) {
      Connection next = queue.pollFirst();
      if (next.isReusable(now)) {
        return next;
      }
      next.close();
    }
    return null;
  }

  /** Closes the idle connections to an address. */
  void closeIdle(String address) {
    Deque<Connection> idle = idleConnections.remove(address);
    if (idle != null) {
      idle.forEach(Connection::close);
    }
  }

  /** Closes connections that exceeded their keep-alive time. */
  void closeExpired() {
    long now = System.nanoTime();
    for (Deque<Connection> queue : idleConnections.values()) {
      while (!queue.isEmpty() && !queue.peekLast().isReusable(now)) {
        queue.pollLast().close();
      }
    }
    if (idleConnections.size() > MAX_IDLE_ADDRESSES) {
      idleConnections.values().removeIf(Deque::isEmpty);
    }
  }

  /** Opens a connection; exactly one of the consumers is called, on the I/O thread. */
  void connect(String address, Consumer<Connection> onOpen, Consumer<IOException> onFailure) {
    PendingConnect opening = new PendingConnect(address, onOpen, onFailure);
    ioThread.executeAfter(opening::onTimeout, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    try {
      HttpConnection.connect(address, ioThread, opening::completed, opening::failed);
    } catch (IllegalArgumentException e) {
      opening.failed(
          new IOException("invalid upstream address, expected host:port: " + address, e));
    }
  }

  private final class PendingConnect {
    private final String address;
    private final Consumer<Connection> onOpen;
    private final Consumer<IOException> onFailure;
    private boolean done;

    PendingConnect(String address, Consumer<Connection> onOpen, Consumer<IOException> onFailure) {
      this.address = address;
      this.onOpen = onOpen;
      this.onFailure = onFailure;
    }

    void completed(HttpConnection http) {
      if (done) {
        http.close();
      } else {
        done = true;
        outcomes.recordAnswered(System.nanoTime());
        onOpen.accept(new Connection(address, http));
      }
    }

    void failed(IOException e) {
      if (!done) {
        done = true;
        outcomes.recordAnswered(System.nanoTime());
        onFailure.accept(e);
      }
    }

    void onTimeout() {
      if (!done) {
        done = true;
        outcomes.recordTimeout(System.nanoTime());
        onFailure.accept(
            new IOException("connect timed out after " + CONNECT_TIMEOUT_MILLIS + " ms"));
      }
    }
  }
}
