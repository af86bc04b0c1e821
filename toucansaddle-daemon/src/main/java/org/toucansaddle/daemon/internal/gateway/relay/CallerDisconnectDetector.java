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

  /** Monitors a connection whose request has been read completely. */
  static void start(HttpServerExchange exchange, Runnable onDisconnect) {
    if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
      return;
    }
    if (connection.getExtraBytes() != null) {
      return;
    }
    ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
    // Reading a request body replaces the conduit; restore it to receive read notifications.
    channel.setConduit(connection.getOriginalSourceConduit());
    channel.setReadListener(readable -> onReadable(exchange, connection, readable, onDisconnect));
    channel.resumeReads();
  }

  private static void onReadable(
      HttpServerExchange exchange,
      HttpServerConnection connection,
      ConduitStreamSourceChannel channel,
      Runnable onDisconnect) {
    if (exchange.isComplete()) {
      return;
    }
    PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
    boolean kept = false;
    try {
      int count = channel.read(buffer.getBuffer());
      if (count < 0) {
        channel.suspendReads();
        IoUtils.safeClose(connection);
        onDisconnect.run();
      } else if (count > 0) {
        channel.suspendReads();
        buffer.getBuffer().flip();
        kept = true;
        connection.ungetRequestBytes(buffer);
      }
    } catch (IOException e) {
      IoUtils.safeClose(connection);
      onDisconnect.run();
    } finally {
      if (!kept) {
        buffer.close();
      }
    }
  }
}
