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
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;

/**
 * Connections to upstreams that belong to one I/O thread, kept for reuse.
 *
 * <p>Confined to that thread. Each connection carries one request at a time; the newest idle one is
 * used first, so that the others age out.
 */
final class UpstreamConnections {

  /** Longest wait for a connection; a lost opening packet is sent again after a second only. */
  private static final int CONNECT_MILLIS = 600;

  /** Time a connection stays usable if the upstream does not say. */
  private static final long DEFAULT_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final int SWEEP_SIZE = 64;

  private final XnioIoThread ioThread;
  private final ByteBufferPool buffers;
  private final Map<String, Deque<Connection>> idle = new HashMap<>();
  private final Map<String, Integer> open = new HashMap<>();

  UpstreamConnections(XnioIoThread ioThread, ByteBufferPool buffers) {
    this.ioThread = ioThread;
    this.buffers = buffers;
  }

  /** One connection. */
  final class Connection {
    private final String address;
    private final ClientConnection client;
    private long idleSince;
    private long idleNanos = DEFAULT_IDLE_NANOS;

    private Connection(String address, ClientConnection client) {
      this.address = address;
      this.client = client;
      open.merge(address, 1, Integer::sum);
      client.addCloseListener(
          channel -> open.computeIfPresent(address, (key, n) -> n > 1 ? n - 1 : null));
    }

    ClientConnection client() {
      return client;
    }

    /** Keeps the connection for another request, for at most a time. */
    void release(long keptMillis) {
      if (!client.isOpen()) {
        return;
      }
      idleSince = System.nanoTime();
      idleNanos = keptMillis > 0 ? TimeUnit.MILLISECONDS.toNanos(keptMillis) : DEFAULT_IDLE_NANOS;
      idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addFirst(this);
    }

    void close() {
      IoUtils.safeClose(client);
    }

    private boolean isUsable(long now) {
      return client.isOpen() && now - idleSince < idleNanos;
    }
  }

  /** Returns the number of connections open to an address. */
  int open(String address) {
    return open.getOrDefault(address, 0);
  }

  /** Returns an idle connection, or nothing. */
  Connection takeIdle(String address) {
    Deque<Connection> queue = idle.get(address);
    long now = System.nanoTime();
    while (queue != null && !queue.isEmpty()) {
      Connection next = queue.pollFirst();
      if (next.isUsable(now)) {
        return next;
      }
      next.close();
    }
    return null;
  }

  /** Closes connections that were idle for too long. */
  void closeIdle() {
    long now = System.nanoTime();
    for (Deque<Connection> queue : idle.values()) {
      while (!queue.isEmpty() && !queue.peekLast().isUsable(now)) {
        queue.pollLast().close();
      }
    }
    if (idle.size() > SWEEP_SIZE) {
      idle.values().removeIf(Deque::isEmpty);
    }
  }

  /** Opens a connection; exactly one of the consumers is called, on this thread. */
  void connect(String address, Consumer<Connection> onOpen, Consumer<IOException> onFailure) {
    Opening opening = new Opening(address, onOpen, onFailure);
    ioThread.executeAfter(opening::timedOut, CONNECT_MILLIS, TimeUnit.MILLISECONDS);
    try {
      URI uri = URI.create("http://" + address + "/");
      OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
      UndertowClient.getInstance().connect(opening, uri, ioThread, buffers, options);
    } catch (IllegalArgumentException e) {
      opening.failed(new IOException("not a host and port: " + address, e));
    }
  }

  private final class Opening implements ClientCallback<ClientConnection> {
    private final String address;
    private final Consumer<Connection> onOpen;
    private final Consumer<IOException> onFailure;
    private boolean settled;

    Opening(String address, Consumer<Connection> onOpen, Consumer<IOException> onFailure) {
      this.address = address;
      this.onOpen = onOpen;
      this.onFailure = onFailure;
    }

    @Override
    public void completed(ClientConnection client) {
      if (settled) {
        IoUtils.safeClose(client);
      } else {
        settled = true;
        onOpen.accept(new Connection(address, client));
      }
    }

    @Override
    public void failed(IOException e) {
      if (!settled) {
        settled = true;
        onFailure.accept(e);
      }
    }

    void timedOut() {
      failed(new IOException("no connection within " + CONNECT_MILLIS + " ms"));
    }
  }
}
