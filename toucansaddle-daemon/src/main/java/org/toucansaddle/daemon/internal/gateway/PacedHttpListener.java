package org.toucansaddle.daemon.internal.gateway;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP listener whose new connections share the I/O threads with the open ones.
 *
 * <p>Undertow's own listener handles the first request of each new connection before anything else.
 * While callers connect faster than that, an I/O thread reads neither responses of upstreams nor
 * requests on open connections. Here a limited number is handled between two passes over the open
 * connections. Thread-safe.
 */
final class PacedHttpListener implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PacedHttpListener.class);

  /** New connections handled before the I/O thread serves the open ones. */
  private static final int MAX_HANDLED_PER_PASS = 16;

  /** Delay until the next pass of the I/O thread over all connections. */
  private static final long NEXT_PASS_MILLIS = 1;

  /** Connections that wait to be accepted. */
  private static final int BACKLOG = 1_000;

  private final HttpOpenListener connectionListener;
  private final AcceptingChannel<StreamConnection> server;

  private final AtomicBoolean closed = new AtomicBoolean();
  private final Map<XnioIoThread, ArrivedConnections> arrivedByThread = new ConcurrentHashMap<>();
  private final int maxArrived;
  private final AtomicLong rejected = new AtomicLong();

  /**
   * Starts a listener.
   *
   * @param options options for the HTTP protocol, as in {@link UndertowOptions}
   * @param maxArrived new connections that may wait at an I/O thread; more are closed, so that
   *     their callers go elsewhere
   * @throws IOException if the address cannot be bound
   */
  PacedHttpListener(
      InetSocketAddress address,
      HttpHandler handler,
      XnioWorker worker,
      ByteBufferPool buffers,
      OptionMap options,
      int maxArrived)
      throws IOException {
    this.maxArrived = maxArrived;
    this.connectionListener =
        new HttpOpenListener(
            buffers,
            OptionMap.builder()
                // The buffer would hold back the events of streams.
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, false)
                .addAll(options)
                .getMap());
    connectionListener.setRootHandler(handler);
    OptionMap socketOptions =
        OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, BACKLOG)
            .getMap();
    this.server =
        worker.createStreamConnectionServer(
            address, channel -> takeOver(channel::accept), socketOptions);
    server.resumeAccepts();
  }

  /** New connections of an I/O thread; null if none is left. */
  interface AcceptQueue {
    StreamConnection poll() throws IOException;
  }

  /**
   * Takes over all accepted connections. The server calls this again, without a pass over the open
   * connections, as long as one of them is left. Called by I/O threads only.
   */
  void takeOver(AcceptQueue accepted) {
    ArrivedConnections arrived =
        arrivedByThread.computeIfAbsent(XnioIoThread.currentThread(), ArrivedConnections::new);
    try {
      StreamConnection connection = accepted.poll();
      while (connection != null) {
        arrived.add(connection);
        connection = accepted.poll();
      }
    } catch (IOException e) {
      LOG.warn("a connection of a caller could not be accepted: {}", e.getMessage());
    }
    arrived.startHandling();
  }

  /** Returns the number of connections closed since too many waited. */
  long rejectedCount() {
    return rejected.get();
  }

  /** Connections that have arrived at an I/O thread and are not handled yet; confined to it. */
  private final class ArrivedConnections {
    private final XnioIoThread thread;
    private final Queue<StreamConnection> queue = new ArrayDeque<>();
    private boolean handlingScheduled;

    ArrivedConnections(XnioIoThread thread) {
      this.thread = thread;
    }

    void add(StreamConnection connection) {
      if (queue.size() < maxArrived) {
        queue.add(connection);
      } else {
        rejected.incrementAndGet();
        IoUtils.safeClose(connection);
      }
    }

    void startHandling() {
      if (!handlingScheduled) {
        handleSome();
      }
    }

    private void handleSome() {
      for (int count = 0; count < MAX_HANDLED_PER_PASS && !queue.isEmpty(); count++) {
        connectionListener.handleEvent(queue.remove());
      }
      handlingScheduled = !queue.isEmpty();
      if (handlingScheduled) {
        thread.executeAfter(this::handleSome, NEXT_PASS_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  /** Closes the listener and its connections, once; a second close would wait for ended threads. */
  @Override
  public void close() {
    if (closed.compareAndSet(false, true)) {
      IoUtils.safeClose(server);
      connectionListener.closeConnections();
    }
  }
}
