package org.toucansaddle.http.internal;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.toucansaddle.http.HttpConnection;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpExchange;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpStreamHandler;
import org.toucansaddle.http.MalformedResponseException;
import org.toucansaddle.http.ReadTurns;
import org.toucansaddle.http.ResponseHead;

/**
 * Drives one exchange on a connection: writes the request and reads the response.
 *
 * <p>Confined to the connection's I/O thread, except for {@link #cancel}, which is thread-safe. The
 * handler receives exactly one of {@code onEnd} and {@code onFailure}.
 */
final class ClientExchangeDriver implements HttpExchange, HttpConnection.Exchange {

  private static final int READ_BUFFER_BYTES = 16 * 1024;
  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BUFFER_BYTES));

  private final HttpRequest request;
  private final HttpStreamHandler handler;
  private final Consumer<PooledConnection> connectionReleaser;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile PooledConnection connection;
  private volatile boolean cancelled;

  ClientExchangeDriver(
      HttpRequest request,
      HttpStreamHandler handler,
      Consumer<PooledConnection> connectionReleaser) {
    this.request = request;
    this.handler = handler;
    this.connectionReleaser = connectionReleaser;
  }

  /** Sends the request on an established connection. */
  void start(PooledConnection established) {
    connection = established;
    if (cancelled) {
      fail(HttpException.Kind.CANCELLED, false, "The request was cancelled.", null);
      return;
    }
    established
        .connection()
        .send(request.method(), request.path(), requestFields(), request.body(), this);
  }

  void onConnectFailure(HttpException failure) {
    endOnce(() -> handler.onFailure(failure));
  }

  @Override
  public void cancel() {
    cancelled = true;
    PooledConnection current = connection;
    if (current != null) {
      current
          .ioThread()
          .execute(
              () -> fail(HttpException.Kind.CANCELLED, true, "The request was cancelled.", null));
    }
  }

  private HeaderMap requestFields() {
    HeaderMap fields = new HeaderMap();
    fields.put(Headers.HOST, request.target());
    request.headers().forEach((name, value) -> fields.put(new HttpString(name), value));
    if (request.body().length > 0) {
      fields.put(Headers.CONTENT_LENGTH, request.body().length);
    }
    return fields;
  }

  @Override
  public void onHead(ResponseHead head) {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (HeaderValues values : head.fields()) {
      headers.put(values.getHeaderName().toString(), String.join(", ", values));
    }
    if (ended.get()) {
      return;
    }
    handler.onHead(head.status(), headers);
    onReadable();
  }

  @Override
  public void onReadable() {
    HttpConnection http = connection.connection();
    ByteBuffer buffer = READ_BUFFER.get();
    try {
      for (int reads = 0; !ended.get(); reads++) {
        if (reads == ReadTurns.MAX_READS) {
          http.suspendReads();
          ReadTurns.awaitNext(this::onReadable);
          return;
        }
        buffer.clear();
        int bytesRead = http.read(buffer);
        if (bytesRead < 0) {
          onResponseEnd();
          return;
        }
        if (bytesRead == 0) {
          http.resumeReads();
          return;
        }
        buffer.flip();
        handler.onData(buffer);
      }
    } catch (IOException e) {
      onFailure(e);
    }
  }

  private void onResponseEnd() {
    PooledConnection current = connection;
    if (current.connection().endExchange()) {
      connectionReleaser.accept(current);
    } else {
      current.close();
    }
    endOnce(handler::onEnd);
  }

  @Override
  public void onFailure(IOException cause) {
    if (cause instanceof MalformedResponseException) {
      String message = "%s sent no valid response (%s).";
      fail(
          HttpException.Kind.MALFORMED,
          true,
          message.formatted(request.target(), cause.getMessage()),
          cause);
    } else {
      onConnectionLost(cause);
    }
  }

  private void onConnectionLost(IOException cause) {
    fail(
        HttpException.Kind.BROKEN,
        true,
        "The connection to "
            + request.target()
            + " was lost before the response was complete ("
            + cause.getMessage()
            + "). Retry the request only if it is idempotent.",
        cause);
  }

  private void fail(
      HttpException.Kind kind, boolean mayHaveReachedServer, String message, Throwable cause) {
    boolean first =
        endOnce(
            () -> handler.onFailure(new HttpException(kind, mayHaveReachedServer, message, cause)));
    if (first && connection != null) {
      connection.close();
    }
  }

  private boolean endOnce(Runnable notification) {
    if (!ended.compareAndSet(false, true)) {
      return false;
    }
    notification.run();
    return true;
  }
}
