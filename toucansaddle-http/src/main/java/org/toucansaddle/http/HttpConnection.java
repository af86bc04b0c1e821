package org.toucansaddle.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.toucansaddle.http.internal.ResponseBody;
import org.toucansaddle.http.internal.ResponseHeadReader;
import org.xnio.Buffers;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Client side of an HTTP/1.1 connection.
 *
 * <pre>{@code
 * HttpConnection.connect("127.0.0.1:8080", ioThread, connection -> ..., failure -> ...);
 * connection.send("GET", "/", fields, new byte[0], exchange);
 * }</pre>
 *
 * <p>Carries one exchange at a time, and fails it where its response is not valid (RFC 9110, RFC
 * 9112). Keeps nothing of a request that is written. Confined to the connection's I/O thread.
 */
public final class HttpConnection implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final ThreadLocal<ByteBuffer> BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(BUFFER_BYTES));
  private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);
  private static final ByteBuffer[] NOTHING = {};
  private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  /** Receives the response to one request. */
  public interface Exchange {

    /** Called once with the head; from then on, content can be read. */
    void onHead(ResponseHead head);

    /** Called after {@link HttpConnection#resumeReads} when more may be read. */
    void onReadable();

    /**
     * Called if no valid head arrives; nothing else is called after that.
     *
     * @param cause a {@link MalformedResponseException} if something else than a head arrived
     */
    void onFailure(IOException cause);
  }

  private final StreamConnection connection;
  private final ConduitStreamSourceChannel source;
  private final ConduitStreamSinkChannel sink;
  private Exchange exchange;
  private ByteBuffer[] unsent = NOTHING;
  private boolean requestWritten = true;
  private boolean expectsBody;
  private boolean persistent = true;
  private ResponseHeadReader headReader;
  private ResponseBody body;
  private boolean endsWithConnection;

  /** Bytes that were read but not delivered: content, or what follows the response. */
  private ByteBuffer received = EMPTY;

  private HttpConnection(StreamConnection connection) {
    this.connection = connection;
    this.source = connection.getSourceChannel();
    this.sink = connection.getSinkChannel();
    awaitNextRequest();
  }

  /**
   * Opens a connection; exactly one of the consumers is called.
   *
   * @param address host and port
   * @throws IllegalArgumentException if the address is of another form or cannot be resolved
   */
  public static void connect(
      String address,
      XnioIoThread ioThread,
      Consumer<HttpConnection> onOpen,
      Consumer<IOException> onFailure) {
    URI uri = URI.create("http://" + address + "/");
    IoFuture<StreamConnection> opening =
        ioThread.openStreamConnection(
            new InetSocketAddress(uri.getHost(), uri.getPort()),
            opened -> onOpen.accept(new HttpConnection(opened)),
            OPTIONS);
    opening.addNotifier(
        new IoFuture.HandlingNotifier<StreamConnection, Void>() {
          @Override
          public void handleFailed(IOException failure, Void unused) {
            onFailure.accept(failure);
          }
        },
        null);
  }

  /** Sets what is run once the connection is closed, by either side. */
  public void onClose(Runnable action) {
    connection.setCloseListener(closed -> action.run());
  }

  /** Returns whether the connection is open as far as is known. */
  public boolean isOpen() {
    return connection.isOpen();
  }

  /** Closes the connection at once; nothing of its exchange is called after that. */
  @Override
  public void close() {
    exchange = null;
    IoUtils.safeClose(connection);
  }

  /**
   * Sends a request.
   *
   * @param target path and query
   * @param fields all header fields, among them the length of the content if there is any
   * @param receiver receives the response
   * @throws IllegalStateException if another exchange is under way
   */
  public void send(
      String method, String target, HeaderMap fields, byte[] content, Exchange receiver) {
    if (exchange != null) {
      throw new IllegalStateException("An exchange is under way. Use another connection.");
    }
    exchange = receiver;
    unsent = new ByteBuffer[] {encodeHead(method, target, fields), ByteBuffer.wrap(content)};
    requestWritten = false;
    expectsBody = !method.equals("HEAD");
    headReader = new ResponseHeadReader();
    body = null;
    source.setReadListener(channel -> readHead());
    writeRequest();
  }

  private static ByteBuffer encodeHead(String method, String target, HeaderMap fields) {
    StringBuilder head = new StringBuilder();
    head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
    for (HeaderValues values : fields) {
      for (String value : values) {
        // A line end in a value would begin a field of its own.
        String line = value.replace('\r', ' ').replace('\n', ' ');
        head.append(values.getHeaderName()).append(": ").append(line).append("\r\n");
      }
    }
    return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
  }

  private void writeRequest() {
    if (exchange == null) {
      sink.suspendWrites();
      return;
    }
    try {
      while (Buffers.hasRemaining(unsent)) {
        if (sink.write(unsent) == 0) {
          sink.setWriteListener(channel -> writeRequest());
          sink.resumeWrites();
          return;
        }
      }
      requestWritten = true;
      unsent = NOTHING;
      sink.suspendWrites();
    } catch (IOException e) {
      sink.suspendWrites();
      // A server may respond and close before it has read a long body; the response counts.
      if (body == null) {
        fail(e);
      }
    }
  }

  private void readHead() {
    ByteBuffer in = BUFFER.get();
    try {
      while (exchange != null) {
        int count = source.read(in.clear());
        if (count == 0) {
          return;
        }
        if (count < 0) {
          throw new IOException("the connection ended before the end of the head");
        }
        ResponseHead head = headReader.read(in.flip());
        if (head != null) {
          received = copyOf(in);
          startBody(head);
          return;
        }
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  private static ByteBuffer copyOf(ByteBuffer rest) {
    if (!rest.hasRemaining()) {
      return EMPTY;
    }
    return ByteBuffer.allocate(rest.remaining()).put(rest).flip();
  }

  private void startBody(ResponseHead head) {
    persistent = head.persistent();
    body = headReader.createBody(expectsBody);
    endsWithConnection = head.framing() == ResponseFraming.CONNECTION_END && !body.isComplete();
    headReader = null;
    source.suspendReads();
    source.setReadListener(channel -> onReadable());
    exchange.onHead(head);
  }

  private void onReadable() {
    if (exchange != null) {
      exchange.onReadable();
    }
  }

  private void fail(IOException cause) {
    Exchange failed = exchange;
    close();
    if (failed != null) {
      failed.onFailure(cause);
    }
  }

  /**
   * Reads content of the response whose head has arrived.
   *
   * @return the number of bytes; 0 if there are none yet; -1 if the response is complete
   * @throws IOException if the response cannot be completed; the content before that is in the
   *     buffer
   */
  public int read(ByteBuffer target) throws IOException {
    int start = target.position();
    while (target.position() == start && !body.isComplete()) {
      if (received.hasRemaining()) {
        body.transfer(received, target);
        continue;
      }
      ByteBuffer in = BUFFER.get();
      int count = source.read(in.clear().limit(Math.min(in.capacity(), target.remaining())));
      if (count == 0) {
        return 0;
      }
      if (count < 0) {
        endBody();
      } else {
        body.transfer(in.flip(), target);
        received = copyOf(in);
      }
    }
    return target.position() > start ? target.position() - start : -1;
  }

  /**
   * Ends the body with the connection. If a part of the request could not be written, that has
   * taken the error of a reset connection, which looks closed in order from then on.
   */
  private void endBody() throws IOException {
    body.endConnection();
    if (endsWithConnection && !requestWritten) {
      throw new IOException(
          "the connection that marks the end of the body ended before the request was written");
    }
  }

  /** Calls {@link Exchange#onReadable} when content arrives. */
  public void resumeReads() {
    source.resumeReads();
  }

  /** Stops the calls of {@link Exchange#onReadable}. */
  public void suspendReads() {
    source.suspendReads();
  }

  /**
   * Ends the exchange, whose response is complete, and returns whether the connection may carry
   * another one. If not, it has to be closed.
   */
  public boolean endExchange() {
    exchange = null;
    boolean reusable =
        persistent && requestWritten && !endsWithConnection && !received.hasRemaining() && isOpen();
    if (reusable) {
      awaitNextRequest();
    }
    return reusable;
  }

  /** Closes the connection if the server does, or sends something that no request asked for. */
  private void awaitNextRequest() {
    source.setReadListener(channel -> close());
    source.resumeReads();
  }
}
