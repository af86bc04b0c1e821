package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a caller closed its connection while its request is under way.
 *
 * <p>Confined to the caller's I/O thread. Bytes of a next request are kept for Undertow, after
 * which the connection is not watched any more.
 */
final class CallerDisconnectDetector {

  private CallerDisconnectDetector() {}

  /** Watches a connection whose request has been read in full. */
  static void start(HttpServerExchange exchange, Runnable onGone) {
    if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
      return;
    }
    if (connection.getExtraBytes() != null) {
      return;
    }
    ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
    // The channel of a request body took over the notifications; this gives them back.
    channel.setConduit(connection.getOriginalSourceConduit());
    channel.setReadListener(ready -> onReadable(exchange, connection, ready, onGone));
    channel.resumeReads();
  }

  private static void onReadable(
      HttpServerExchange exchange,
      HttpServerConnection connection,
      ConduitStreamSourceChannel channel,
      Runnable onGone) {
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
        onGone.run();
      } else if (count > 0) {
        channel.suspendReads();
        buffer.getBuffer().flip();
        kept = true;
        connection.ungetRequestBytes(buffer);
      }
    } catch (IOException e) {
      IoUtils.safeClose(connection);
      onGone.run();
    } finally {
      if (!kept) {
        buffer.close();
      }
    }
  }
}
