package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.ServerConnection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;

/**
 * The open connections of callers that have sent at least one request.
 *
 * <p>A connection is idle between the end of one request and the start of the next. Thread-safe.
 */
final class CallerConnections {

  private final AtomicInteger open = new AtomicInteger();
  private final Set<ServerConnection> idle = ConcurrentHashMap.newKeySet();

  /** Returns the number of open connections. */
  int openCount() {
    return open.get();
  }

  /** Records that a request arrived on a connection. */
  void onRequestStarted(ServerConnection connection) {
    if (!idle.remove(connection)) {
      open.incrementAndGet();
      connection.addCloseListener(this::onClosed);
    }
  }

  private void onClosed(ServerConnection connection) {
    open.decrementAndGet();
    idle.remove(connection);
  }

  /** Records that the response to the request of a connection is written completely. */
  void onRequestEnded(ServerConnection connection) {
    if (connection.isOpen()) {
      idle.add(connection);
    }
  }

  /**
   * Closes all idle connections.
   *
   * <p>A caller whose request arrives during the close sees the connection end without a response,
   * which shows that the request was not read.
   */
  void closeIdle() {
    idle.forEach(connection -> connection.getIoThread().execute(() -> closeIfIdle(connection)));
  }

  private void closeIfIdle(ServerConnection connection) {
    if (idle.remove(connection)) {
      IoUtils.safeClose(connection);
    }
  }
}
