package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

/**
 * Streams a response to its caller. Confined to the caller's I/O thread.
 *
 * <p>A response that cannot be completed is ended by closing or resetting the connection, so that
 * it never looks complete.
 */
final class CallerResponse {

  private static final Logger LOG = LoggerFactory.getLogger(CallerResponse.class);

  private final HttpServerExchange exchange;
  private final Runnable onWritable;
  private final Runnable onDisconnect;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private final UnreadGuard guard;
  private StreamSinkChannel sink;
  private boolean endRequested;
  private boolean done;

  /**
   * Creates a response whose head has not been sent.
   *
   * @param onWritable called when all pending data has been written
   * @param onDisconnect called when writing to the caller failed, or the caller left the response
   *     unread for too long
   */
  CallerResponse(
      RelayContext context,
      HttpServerExchange exchange,
      CallRequest request,
      Runnable onWritable,
      Runnable onDisconnect) {
    this.exchange = exchange;
    this.onWritable = onWritable;
    this.onDisconnect = onDisconnect;
    this.guard =
        new UnreadGuard(context, exchange, request, this::writePending, this::onWriteFailure);
  }

  /**
   * Sets the head of the response, which is sent with the first content.
   *
   * @param headers header fields of the upstream's response
   * @param length length of the content as a header value; empty if it is not known
   */
  void start(RelayContext context, int status, HeaderMap headers, String length) {
    exchange.setStatusCode(status);
    HeaderMap responseHeaders = exchange.getResponseHeaders();
    context.codec().copyResponseHeaders(headers, responseHeaders);
    if (!length.isEmpty()) {
      responseHeaders.put(Headers.CONTENT_LENGTH, length);
    } else if (exchange.isHttp11() && mayHaveBody(status)) {
      // If the end of the connection marked the end, a truncated response would look complete.
      responseHeaders.put(Headers.TRANSFER_ENCODING, "chunked");
    }
    if (context.closesConnections()
        && !CallerConnections.hasNextRequest(exchange.getConnection())) {
      responseHeaders.put(Headers.CONNECTION, "close");
    }
  }

  /** Clears the head of a response that has not been sent, so that another can take its place. */
  void discardHead() {
    exchange.getResponseHeaders().clear();
  }

  /** Returns whether the head of the response was sent. */
  boolean isHeadSent() {
    return exchange.isResponseStarted();
  }

  /** Returns whether a response with this status has content. */
  boolean mayHaveBody(int status) {
    return status != StatusCodes.NO_CONTENT
        && status != StatusCodes.NOT_MODIFIED
        && !exchange.getRequestMethod().equals(Methods.HEAD);
  }

  /** Writes content and buffers the rest. Returns whether everything was written. */
  boolean write(ByteBuffer data) {
    if (done) {
      return true;
    }
    try {
      openSink();
      if (pending.isEmpty()) {
        while (data.hasRemaining() && sink.write(data) > 0) {
          continue;
        }
      }
      if (!data.hasRemaining()) {
        return true;
      }
      ByteBuffer rest = ByteBuffer.allocate(data.remaining());
      rest.put(data).flip();
      pending.add(rest);
      guard.onWritten(pendingBytes());
      sink.resumeWrites();
      return false;
    } catch (IOException e) {
      onWriteFailure();
      return false;
    }
  }

  private long pendingBytes() {
    return pending.stream().mapToLong(ByteBuffer::remaining).sum();
  }

  /** Records the size of an event that is held until the upstream completes it. */
  void holdUnfinished(long bytes) {
    if (!done) {
      guard.onUnfinished(bytes);
    }
  }

  /** Returns how many bytes to read at once from the upstream, instead of the usual number. */
  int readBytes(int usual) {
    return guard.readBytes(usual);
  }

  private void openSink() {
    if (sink == null) {
      sink = exchange.getResponseChannel();
      sink.getWriteSetter().set(channel -> writePending());
    }
  }

  /** Flushes the content written so far. */
  void flush() {
    try {
      if (!done && sink != null && pending.isEmpty()) {
        sink.flush();
      }
    } catch (IOException e) {
      onWriteFailure();
    }
  }

  private void writePending() {
    try {
      while (!pending.isEmpty()) {
        ByteBuffer next = pending.peek();
        if (sink.write(next) == 0) {
          guard.onTaken(pendingBytes());
          return;
        }
        if (!next.hasRemaining()) {
          pending.poll();
        }
      }
      guard.onTaken(0);
      sink.suspendWrites();
      if (endRequested) {
        finish();
      } else {
        sink.flush();
        onWritable.run();
      }
    } catch (IOException e) {
      onWriteFailure();
    }
  }

  /** Completes the response once all pending data is written. */
  void end() {
    if (done) {
      return;
    }
    endRequested = true;
    openSink();
    if (pending.isEmpty()) {
      try {
        finish();
      } catch (IOException e) {
        onWriteFailure();
      }
    } else {
      guard.onUpstreamDone();
    }
  }

  private void finish() throws IOException {
    done = true;
    guard.close();
    sink.shutdownWrites();
    if (sink.flush()) {
      exchange.endExchange();
      return;
    }
    sink.getWriteSetter()
        .set(
            ChannelListeners.flushingChannelListener(
                channel -> exchange.endExchange(),
                (channel, failure) -> IoUtils.safeClose(exchange.getConnection())));
    sink.resumeWrites();
  }

  private void onWriteFailure() {
    if (!done) {
      abort();
      onDisconnect.run();
    }
  }

  /**
   * Closes the connection, so that the caller sees an incomplete response. The connection is reset
   * if its orderly end would mark the end of the response.
   */
  void abort() {
    done = true;
    guard.close();
    HeaderMap headers = exchange.getResponseHeaders();
    boolean framed =
        headers.contains(Headers.CONTENT_LENGTH) || headers.contains(Headers.TRANSFER_ENCODING);
    if (!framed) {
      resetOnClose();
    }
    IoUtils.safeClose(exchange.getConnection());
  }

  private void resetOnClose() {
    try {
      exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
    } catch (IOException e) {
      LOG.warn("a broken response may look complete to its caller: {}", e.getMessage());
    }
  }
}
