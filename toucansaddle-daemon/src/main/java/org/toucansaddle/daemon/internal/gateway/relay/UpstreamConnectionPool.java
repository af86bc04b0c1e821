package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.toucansaddle.http.ClientConnections;
import org.xnio.OptionMap;
import org.xnio.Options;
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
  private final ByteBufferPool bufferPool;
  private final ConnectOutcomes outcomes;
  private final Map<String, Deque<Connection>> idleConnections = new HashMap<>();
  private final Map<String, Integer> openCounts = new HashMap<>();

  UpstreamConnectionPool(
      XnioIoThread ioThread, ByteBufferPool bufferPool, ConnectOutcomes outcomes) {
    this.ioThread = ioThread;
    this.bufferPool = bufferPool;
    this.outcomes = outcomes;
  }

  /** A pooled connection. */
  final class Connection {
    private final String address;
    private final ClientConnection client;
    private long idleSinceNanos;
    private long keepAliveNanos = DEFAULT_KEEP_ALIVE_NANOS;

    private Connection(String address, ClientConnection client) {
      this.address = address;
      this.client = client;
      openCounts.merge(address, 1, Integer::sum);
      client.addCloseListener(
          channel -> openCounts.computeIfPresent(address, (key, n) -> n > 1 ? n - 1 : null));
    }

    ClientConnection client() {
      return client;
    }

    /** Returns the connection to the pool for a limited time; 0 for the default time. */
    void release(long keepAliveMillis) {
      if (!client.isOpen()) {
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
      ClientConnections.closeNow(client);
    }

    private boolean isReusable(long now) {
      return client.isOpen() && now - idleSinceNanos < keepAliveNanos;
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
      URI uri = URI.create("http://" + address + "/");
      OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
      UndertowClient.getInstance().connect(opening, uri, ioThread, bufferPool, options);
    } catch (IllegalArgumentException e) {
      opening.failed(
          new IOException("invalid upstream address, expected host:port: " + address, e));
    }
  }

  private final class PendingConnect implements ClientCallback<ClientConnection> {
    private final String address;
    private final Consumer<Connection> onOpen;
    private final Consumer<IOException> onFailure;
    private boolean done;

    PendingConnect(String address, Consumer<Connection> onOpen, Consumer<IOException> onFailure) {
      this.address = address;
      this.onOpen = onOpen;
      this.onFailure = onFailure;
    }

    @Override
    public void completed(ClientConnection client) {
      if (done) {
        ClientConnections.closeNow(client);
      } else {
        done = true;
        outcomes.recordAnswered(System.nanoTime());
        onOpen.accept(new Connection(address, client));
      }
    }

    @Override
    public void failed(IOException e) {
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
