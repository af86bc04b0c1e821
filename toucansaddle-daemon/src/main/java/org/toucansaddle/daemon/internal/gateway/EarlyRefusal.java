package org.toucansaddle.daemon.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Refuses the first request of a new connection without parsing it, at a small part of the cost of
 * a relayed request.
 *
 * <p>The response promises that the request has not run: nothing of it is passed on. It is sent
 * once bytes of a request are there, and the connection is then closed. A caller that sends nothing
 * gets no response. Confined to the I/O thread of the connection.
 */
final class EarlyRefusal {

  /** Time for the caller to send its request and to read the response. */
  private static final long LINGER_MILLIS = 1_000;

  private static final int READ_BYTES = 16 * 1024;
  private static final int MAX_READS = 16;

  /** Delay for a retry at another router, which can serve the request at once. */
  private static final double RETRY_AFTER_SECONDS = 0.05;

  private static final String DETAIL =
      "This router starts or has more requests than it can read. Send the request to another one.";

  private static final ThreadLocal<ByteBuffer> DISCARDED =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BYTES));

  private static final byte[] RESPONSE = createResponse();

  private final StreamConnection connection;
  private boolean responded;

  private EarlyRefusal(StreamConnection connection) {
    this.connection = connection;
  }

  /** Refuses a connection on which nothing was read; takes over its closing. */
  static void refuse(StreamConnection connection) {
    EarlyRefusal refusal = new EarlyRefusal(connection);
    ConduitStreamSourceChannel source = connection.getSourceChannel();
    source.setReadListener(readable -> refusal.read());
    connection
        .getIoThread()
        .executeAfter(() -> IoUtils.safeClose(connection), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    refusal.read();
    if (connection.isOpen()) {
      source.resumeReads();
    }
  }

  /**
   * Refuses a connection on which nothing was read and closes it at once, for its descriptor. A
   * caller whose request has not arrived yet gets no response.
   */
  static void refuseAndClose(StreamConnection connection) {
    new EarlyRefusal(connection).read();
    IoUtils.safeClose(connection);
  }

  private static byte[] createResponse() {
    String body =
        "{\"type\":\"router-behind\",\"status\":503,\"run\":\"not-run\",\"detail\":\""
            + DETAIL
            + "\"}";
    String head =
        String.format(
            Locale.ROOT,
            "HTTP/1.1 503 Service Unavailable\r\n"
                + "Content-Type: application/problem+json\r\n"
                + "Retry-After: %.3f\r\n"
                + "Connection: close\r\n"
                + "Content-Length: %d\r\n\r\n",
            RETRY_AFTER_SECONDS,
            body.length());
    return (head + body).getBytes(StandardCharsets.US_ASCII);
  }

  /** Discards what the caller sent; unread bytes would reset the connection at its close. */
  private void read() {
    ByteBuffer buffer = DISCARDED.get();
    try {
      for (int reads = 0; reads < MAX_READS; reads++) {
        buffer.clear();
        int count = connection.getSourceChannel().read(buffer);
        if (count < 0) {
          IoUtils.safeClose(connection);
          return;
        }
        if (count == 0) {
          return;
        }
        respondOnce();
      }
    } catch (IOException e) {
      IoUtils.safeClose(connection);
    }
  }

  private void respondOnce() throws IOException {
    if (responded) {
      return;
    }
    responded = true;
    ConduitStreamSinkChannel sink = connection.getSinkChannel();
    ByteBuffer response = ByteBuffer.wrap(RESPONSE);
    sink.write(response);
    if (response.hasRemaining()) {
      // A caller that leaves no room for so few bytes on a new connection does not read.
      IoUtils.safeClose(connection);
      return;
    }
    sink.shutdownWrites();
    sink.flush();
  }
}
