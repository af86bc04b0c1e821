package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * The open connections of callers that have sent at least one request.
 *
 * <p>A connection is idle between the end of one request and the start of the next. While more than
 * the maximum are open, those that have been idle longest are closed, so that descriptors remain
 * for new callers and for upstreams. Only idle connections are closed: a caller whose request
 * arrives during the close sees the connection end without a response, which shows that the request
 * was not read. Thread-safe.
 */
public final class CallerConnections {

  private final int maxOpen;
  private final LongSupplier clock;
  private final AtomicInteger open = new AtomicInteger();

  /** Start of the idle time in nanoseconds, least recently used connection first. */
  private final Map<ServerConnection, Long> idle = new LinkedHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param maxOpen number of open connections above which idle ones are closed
   * @param clock returns nanoseconds
   */
  public CallerConnections(int maxOpen, LongSupplier clock) {
    this.maxOpen = maxOpen;
    this.clock = clock;
  }

  /** Returns the number of open connections. */
  public int openCount() {
    return open.get();
  }

  /** Returns whether more than the maximum are open, so that none should be kept. */
  boolean isFull() {
    return open.get() > maxOpen;
  }

  /**
   * Returns whether the start of the next request on a connection was read, so that the connection
   * must remain open after the current response.
   */
  static boolean hasNextRequest(ServerConnection connection) {
    return connection instanceof HttpServerConnection http && http.getExtraBytes() != null;
  }

  /** Records that a request arrived on a connection. */
  void onRequestStarted(ServerConnection connection) {
    if (removeIdle(connection)) {
      return;
    }
    open.incrementAndGet();
    connection.addCloseListener(this::onClosed);
    if (isFull()) {
      closeLeastRecentlyUsed(connection.getIoThread());
    }
  }

  private void onClosed(ServerConnection connection) {
    open.decrementAndGet();
    removeIdle(connection);
  }

  /** Records that the response to the request of a connection is written completely. */
  void onRequestEnded(ServerConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    synchronized (idle) {
      idle.put(connection, clock.getAsLong());
    }
  }

  private boolean removeIdle(ServerConnection connection) {
    synchronized (idle) {
      return idle.remove(connection) != null;
    }
  }

  /** Closes the idle connection of the current I/O thread that was used least recently. */
  private void closeLeastRecentlyUsed(XnioIoThread current) {
    ServerConnection found = null;
    synchronized (idle) {
      for (ServerConnection connection : idle.keySet()) {
        if (connection.getIoThread() == current) {
          found = connection;
          break;
        }
      }
      idle.remove(found);
    }
    IoUtils.safeClose(found);
  }

  /** Closes connections that have been idle for at least this time. */
  public void closeIdleFor(long nanos) {
    long now = clock.getAsLong();
    List<ServerConnection> expired = new ArrayList<>();
    synchronized (idle) {
      for (Map.Entry<ServerConnection, Long> entry : idle.entrySet()) {
        if (now - entry.getValue() < nanos) {
          break;
        }
        expired.add(entry.getKey());
      }
    }
    expired.forEach(this::closeLater);
  }

  /** Closes a connection on its I/O thread unless a request has arrived until then. */
  private void closeLater(ServerConnection connection) {
    connection.getIoThread().execute(() -> closeIfIdle(connection));
  }

  private void closeIfIdle(ServerConnection connection) {
    if (removeIdle(connection)) {
      IoUtils.safeClose(connection);
    }
  }
}
