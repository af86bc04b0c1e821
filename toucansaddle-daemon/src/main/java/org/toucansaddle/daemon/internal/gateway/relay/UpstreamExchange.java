package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamConnectionPool.Connection;
import org.toucansaddle.http.HttpConnection;
import org.toucansaddle.http.MalformedResponseException;
import org.toucansaddle.http.ReadTurns;
import org.toucansaddle.http.ResponseHead;

/**
 * Sends one request to one upstream and streams its response to a listener.
 *
 * <p>Confined to the connection's I/O thread. The listener is completed or failed at most once.
 */
final class UpstreamExchange implements HttpConnection.Exchange {

  private static final int READ_BYTES = 16 * 1024;
  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BYTES));

  /** Fraction of the keep-alive time used for reuse; the rest covers network delay. */
  private static final double KEEP_ALIVE_FRACTION = 0.6;

  /** Receives the response. */
  interface Listener {

    /** Called with the head of the response. */
    void onResponseHead(ResponseHead head);

    /**
     * Called with content; the buffer is valid only during the call.
     *
     * @return whether more may be read now; if not, {@link UpstreamExchange#resume} continues
     */
    boolean onResponseData(ByteBuffer data);

    /** Returns how many bytes to read at once, at most the usual number. */
    int readBytes(int usual);

    /** Called after content has been delivered, when there is no more or others are read first. */
    void onDataDrained();

    /**
     * Called when the response is complete according to its framing. Returns why it is incomplete
     * nevertheless, and then {@link #onFailure} follows.
     */
    Optional<String> findTruncation();

    /** Returns whether the connection may carry another request after a complete response. */
    boolean keepsConnection();

    /** Called when the response is complete. */
    void onResponseComplete();

    /**
     * Called when the response cannot be completed; the request may have run.
     *
     * @param cause a {@link MalformedResponseException} if it is no valid response
     */
    void onFailure(IOException cause);
  }

  private final Connection connection;
  private final HttpConnection http;
  private final Listener listener;
  private IOException readFailure;
  private long keepAliveMillis;
  private boolean headReceived;
  private boolean reading;
  private boolean awaitingTurn;
  private boolean ended;

  UpstreamExchange(Connection connection, Listener listener) {
    this.connection = connection;
    this.http = connection.http();
    this.listener = listener;
  }

  /** Sends the request. */
  void start(String method, String target, HeaderMap fields, byte[] body) {
    http.send(method, target, fields, body, this);
  }

  /**
   * Closes the connection, which signals the upstream to stop.
   *
   * @return whether the response was still awaited
   */
  boolean cancel() {
    boolean awaited = !ended;
    if (awaited) {
      ended = true;
      connection.close();
    }
    return awaited;
  }

  @Override
  public void onHead(ResponseHead head) {
    headReceived = true;
    keepAliveMillis = parseKeepAliveMillis(head.fields());
    listener.onResponseHead(head);
    read();
  }

  @Override
  public void onReadable() {
    read();
  }

  @Override
  public void onFailure(IOException cause) {
    fail(cause);
  }

  private static long parseKeepAliveMillis(HeaderMap headers) {
    String value = headers.getFirst(Headers.KEEP_ALIVE);
    int start = value == null ? -1 : value.indexOf("timeout=");
    if (start < 0) {
      return 0;
    }
    long seconds = 0;
    for (int i = start + "timeout=".length(); i < value.length(); i++) {
      char c = value.charAt(i);
      if (c < '0' || c > '9') {
        break;
      }
      seconds = Math.min(3_600, seconds * 10 + c - '0');
    }
    return (long) (seconds * 1_000 * KEEP_ALIVE_FRACTION);
  }

  /** Resumes reading after the listener's backpressure ended. */
  void resume() {
    read();
  }

  private void awaitNextTurn() {
    http.suspendReads();
    awaitingTurn = true;
    ReadTurns.awaitNext(
        () -> {
          awaitingTurn = false;
          read();
        });
  }

  /** Delivers chunks that are there together at once: each delivery is a write to the caller. */
  private void read() {
    if (ended || reading || awaitingTurn || !headReceived) {
      return;
    }
    reading = true;
    try {
      for (int reads = 0; !ended; ) {
        if (reads >= ReadTurns.MAX_READS) {
          listener.onDataDrained();
          awaitNextTurn();
          return;
        }
        ByteBuffer buffer = READ_BUFFER.get().clear().limit(listener.readBytes(READ_BYTES));
        int count;
        do {
          count = readInto(buffer);
          reads++;
        } while (count > 0 && buffer.hasRemaining() && reads < ReadTurns.MAX_READS);
        if (buffer.position() > 0 && !listener.onResponseData(buffer.flip())) {
          http.suspendReads();
          return;
        }
        if (count <= 0 && !ended) {
          onNothingRead(count);
          return;
        }
      }
    } finally {
      reading = false;
    }
  }

  /** Reads once. A failure counts as the end, as what was read before it is delivered first. */
  private int readInto(ByteBuffer buffer) {
    if (readFailure != null) {
      return -1;
    }
    try {
      return http.read(buffer);
    } catch (IOException e) {
      readFailure = e;
      return -1;
    }
  }

  private void onNothingRead(int count) {
    if (readFailure != null) {
      fail(readFailure);
    } else if (count < 0) {
      complete();
    } else {
      listener.onDataDrained();
      if (!ended) {
        http.resumeReads();
      }
    }
  }

  private void complete() {
    Optional<String> truncation = listener.findTruncation();
    if (truncation.isPresent()) {
      fail(new IOException(truncation.get()));
      return;
    }
    ended = true;
    if (http.endExchange() && listener.keepsConnection()) {
      connection.release(keepAliveMillis);
    } else {
      connection.close();
    }
    listener.onResponseComplete();
  }

  private void fail(IOException cause) {
    if (!ended) {
      ended = true;
      connection.close();
      listener.onFailure(cause);
    }
  }
}
