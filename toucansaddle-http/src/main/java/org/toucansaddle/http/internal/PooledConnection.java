package org.toucansaddle.http.internal;

import io.undertow.client.ClientConnection;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** A client connection with its age. Used by one exchange at a time; closing is thread-safe. */
final class PooledConnection {

  private final String target;
  private final ClientConnection connection;
  private final XnioIoThread ioThread;
  private final long openedAt = System.nanoTime();
  private volatile long idleSince = openedAt;

  PooledConnection(String target, ClientConnection connection, XnioIoThread ioThread) {
    this.target = target;
    this.connection = connection;
    this.ioThread = ioThread;
  }

  String target() {
    return target;
  }

  ClientConnection connection() {
    return connection;
  }

  XnioIoThread ioThread() {
    return ioThread;
  }

  void markIdle() {
    idleSince = System.nanoTime();
  }

  boolean isReusable(Duration maxIdle, Duration maxAge) {
    long now = System.nanoTime();
    return connection.isOpen()
        && now - idleSince < maxIdle.toNanos()
        && now - openedAt < maxAge.toNanos();
  }

  void close() {
    try {
      ioThread.execute(() -> IoUtils.safeClose(connection));
    } catch (RejectedExecutionException e) {
      // The thread has ended, so nothing else uses the connection any more.
      IoUtils.safeClose(connection);
    }
  }
}
