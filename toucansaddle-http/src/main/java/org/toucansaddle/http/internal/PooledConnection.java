package org.toucansaddle.http.internal;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import org.toucansaddle.http.HttpConnection;
import org.xnio.XnioIoThread;

/**
 * A client connection with its age and idle time.
 *
 * <p>Used by one exchange at a time; {@link #close} is thread-safe.
 */
final class PooledConnection {

  private final String target;
  private final HttpConnection connection;
  private final XnioIoThread ioThread;
  private final long openedNanos = System.nanoTime();
  private volatile long idleSinceNanos = openedNanos;

  PooledConnection(String target, HttpConnection connection, XnioIoThread ioThread) {
    this.target = target;
    this.connection = connection;
    this.ioThread = ioThread;
  }

  String target() {
    return target;
  }

  HttpConnection connection() {
    return connection;
  }

  XnioIoThread ioThread() {
    return ioThread;
  }

  void markIdle() {
    idleSinceNanos = System.nanoTime();
  }

  boolean isReusable(Duration maxIdleTime, Duration maxConnectionAge) {
    long nowNanos = System.nanoTime();
    return connection.isOpen()
        && nowNanos - idleSinceNanos < maxIdleTime.toNanos()
        && nowNanos - openedNanos < maxConnectionAge.toNanos();
  }

  void close() {
    try {
      ioThread.execute(connection::close);
    } catch (RejectedExecutionException e) {
      // The I/O thread has stopped, so no other thread uses the connection.
      connection.close();
    }
  }
}
