package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.admission.DescriptorBudget;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * The open connections of callers and the budget of descriptors that all of them share.
 *
 * <p>A connection that is read is idle until its first request starts, and between the end of one
 * request and the start of the next. Once the budget is used up, those that have been idle longest
 * are closed first. Only idle connections are closed here: a caller whose request arrives during
 * the close sees the connection end without a response, which shows that the request was not read.
 * Thread-safe.
 */
public final class CallerConnections {

  private final DescriptorBudget budget;
  private final LongSupplier clock;

  /** Idle times, least recently used connection first. */
  private final Map<StreamConnection, IdleTime> idle = new LinkedHashMap<>();

  /** Start of an idle time, in nanoseconds, and whether a request came before it. Immutable. */
  private record IdleTime(long startNanos, boolean used) {}

  /**
   * Creates an empty set.
   *
   * @param maxOpen number of open connections above which idle ones are closed
   * @param clock returns nanoseconds
   */
  public CallerConnections(int maxOpen, LongSupplier clock) {
    this.budget = new DescriptorBudget(maxOpen);
    this.clock = clock;
  }

  /** Returns the budget, which also counts connections that are not read yet or any more. */
  public DescriptorBudget budget() {
    return budget;
  }

  /** Returns whether the budget is used up, so that no connection should be kept. */
  boolean isFull() {
    return budget.isFull();
  }

  /**
   * Returns whether the start of the next request on a connection was read, so that the connection
   * must remain open after the current response.
   */
  static boolean hasNextRequest(ServerConnection connection) {
    return connection instanceof HttpServerConnection http && http.getExtraBytes() != null;
  }

  /** Records that a connection is read from now on; {@link #onClosed} has to follow. */
  public void onRead(StreamConnection connection) {
    putIdle(connection, false);
  }

  /** Records that a connection is closed. */
  public void onClosed(StreamConnection connection) {
    removeIdle(connection);
  }

  /** Records that a request arrived on a connection. */
  public void onRequestStarted(ServerConnection connection) {
    removeIdle(channelOf(connection));
  }

  /** Records that the response to the request of a connection is written completely. */
  public void onRequestEnded(ServerConnection connection) {
    if (connection.isOpen()) {
      putIdle(channelOf(connection), true);
    }
  }

  private static StreamConnection channelOf(ServerConnection connection) {
    return ((AbstractServerConnection) connection).getChannel();
  }

  private void putIdle(StreamConnection connection, boolean used) {
    synchronized (idle) {
      idle.put(connection, new IdleTime(clock.getAsLong(), used));
    }
  }

  private boolean removeIdle(StreamConnection connection) {
    synchronized (idle) {
      return idle.remove(connection) != null;
    }
  }

  /**
   * Closes the idle connection of the current I/O thread that was used least recently.
   *
   * @return whether there was one
   */
  public boolean closeLeastRecentlyUsed(XnioIoThread current) {
    StreamConnection found = null;
    synchronized (idle) {
      for (StreamConnection connection : idle.keySet()) {
        if (connection.getIoThread() == current) {
          found = connection;
          break;
        }
      }
      idle.remove(found);
    }
    IoUtils.safeClose(found);
    return found != null;
  }

  /**
   * Closes connections that have been idle for at least this time since a request. The first
   * request of the others may be on its way; it is answered or refused.
   */
  public void closeIdleFor(long nanos) {
    long now = clock.getAsLong();
    List<StreamConnection> expired = new ArrayList<>();
    synchronized (idle) {
      for (Map.Entry<StreamConnection, IdleTime> entry : idle.entrySet()) {
        if (now - entry.getValue().startNanos() < nanos) {
          break;
        }
        if (entry.getValue().used()) {
          expired.add(entry.getKey());
        }
      }
    }
    expired.forEach(this::closeLater);
  }

  /** Closes a connection on its I/O thread unless a request has arrived until then. */
  private void closeLater(StreamConnection connection) {
    connection.getIoThread().execute(() -> closeIfIdle(connection));
  }

  private void closeIfIdle(StreamConnection connection) {
    if (removeIdle(connection)) {
      IoUtils.safeClose(connection);
    }
  }
}
