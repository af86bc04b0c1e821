package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller closed its connection while its request is in flight.
 *
 * <p>Confined to the caller's I/O thread. Bytes of a pipelined request are returned to Undertow;
 * from then on the connection is no longer monitored.
 */
final class CallerDisconnectDetector {

  private CallerDisconnectDetector() {}

  /**
   * Monitors a connection whose request has been read completely.
   *
   * @return whether the caller is still connected; if not, {@code onDisconnect} is not called
   */
  static boolean start(HttpServerExchange exchange, Runnable onDisconnect) {
    if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
      return true;
    }
    if (CallerConnections.hasNextRequest(connection)) {
      return true;
    }
    ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
    // Reading a request body replaces the conduit; restore it to receive read notifications.
    channel.setConduit(connection.getOriginalSourceConduit());
    // The request may have waited for so long that its caller has left.
    if (!readAhead(connection, channel)) {
      return false;
    }
    channel.setReadListener(
        readable -> {
          if (!exchange.isComplete() && !readAhead(connection, readable)) {
            onDisconnect.run();
          }
        });
    if (!CallerConnections.hasNextRequest(connection)) {
      channel.resumeReads();
    }
    return true;
  }

  /**
   * Reads what follows the request; returns whether the caller is still connected. The first bytes
   * of the next request are kept and end the monitoring; a connection that has ended is closed.
   */
  private static boolean readAhead(
      HttpServerConnection connection, ConduitStreamSourceChannel channel) {
    PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
    boolean kept = false;
    try {
      int count = channel.read(buffer.getBuffer());
      if (count < 0) {
        channel.suspendReads();
        IoUtils.safeClose(connection);
        return false;
      }
      if (count > 0) {
        channel.suspendReads();
        buffer.getBuffer().flip();
        kept = true;
        connection.ungetRequestBytes(buffer);
      }
      return true;
    } catch (IOException e) {
      IoUtils.safeClose(connection);
      return false;
    } finally {
      if (!kept) {
        buffer.close();
      }
    }
  }
}
