package org.toucansaddle.http.internal;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpExchange;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpStreamHandler;
import org.toucansaddle.http.ReadTurns;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Drives one exchange on a connection: writes the request and reads the response.
 *
 * <p>Confined to the connection's I/O thread, except for {@link #cancel}, which is thread-safe. The
 * handler receives exactly one of {@code onEnd} and {@code onFailure}.
 */
final class ClientExchangeDriver implements HttpExchange {

  private static final int READ_BUFFER_BYTES = 16 * 1024;
  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BUFFER_BYTES));

  private final HttpRequest request;
  private final HttpStreamHandler handler;
  private final Consumer<PooledConnection> connectionReleaser;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile PooledConnection connection;
  private volatile boolean cancelled;
  private boolean requestWritten;

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
        .sendRequest(
            createRequest(),
            new ClientCallback<>() {
              @Override
              public void completed(ClientExchange exchange) {
                onExchangeStarted(exchange);
              }

              @Override
              public void failed(IOException e) {
                onConnectionLost(e);
              }
            });
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

  private ClientRequest createRequest() {
    ClientRequest clientRequest = new ClientRequest();
    clientRequest.setMethod(new HttpString(request.method())).setPath(request.path());
    clientRequest.getRequestHeaders().put(Headers.HOST, request.target());
    request
        .headers()
        .forEach(
            (name, value) -> clientRequest.getRequestHeaders().put(new HttpString(name), value));
    if (request.body().length > 0) {
      clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
    }
    return clientRequest;
  }

  private void onExchangeStarted(ClientExchange exchange) {
    exchange.setResponseListener(
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange respondedExchange) {
            onResponse(respondedExchange);
          }

          @Override
          public void failed(IOException e) {
            onConnectionLost(e);
          }
        });
    StreamSinkChannel sink = exchange.getRequestChannel();
    ByteBuffer body = ByteBuffer.wrap(request.body());
    sink.getWriteSetter().set(channel -> writeBody(sink, body));
    writeBody(sink, body);
  }

  private void writeBody(StreamSinkChannel sink, ByteBuffer body) {
    try {
      while (body.hasRemaining()) {
        if (sink.write(body) == 0) {
          sink.resumeWrites();
          return;
        }
      }
      sink.shutdownWrites();
      if (!sink.flush()) {
        sink.getWriteSetter()
            .set(
                ChannelListeners.flushingChannelListener(
                    channel -> onBodyWritten(channel), (channel, e) -> onConnectionLost(e)));
        sink.resumeWrites();
        return;
      }
      onBodyWritten(sink);
    } catch (IOException e) {
      onConnectionLost(e);
    }
  }

  private void onBodyWritten(StreamSinkChannel sink) {
    requestWritten = true;
    sink.suspendWrites();
  }

  private void onResponse(ClientExchange exchange) {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
      headers.put(values.getHeaderName().toString(), values.getFirst());
    }
    if (ended.get()) {
      return;
    }
    handler.onHead(exchange.getResponse().getResponseCode(), headers);
    StreamSourceChannel source = exchange.getResponseChannel();
    source.getReadSetter().set(this::readBody);
    readBody(source);
  }

  private void readBody(StreamSourceChannel source) {
    ByteBuffer buffer = READ_BUFFER.get();
    try {
      for (int reads = 0; !ended.get(); reads++) {
        if (reads == ReadTurns.MAX_READS) {
          source.suspendReads();
          ReadTurns.awaitNext(() -> readBody(source));
          return;
        }
        buffer.clear();
        int bytesRead = source.read(buffer);
        if (bytesRead < 0) {
          onResponseEnd();
          return;
        }
        if (bytesRead == 0) {
          source.resumeReads();
          return;
        }
        buffer.flip();
        handler.onData(buffer);
      }
    } catch (IOException e) {
      onConnectionLost(e);
    }
  }

  private void onResponseEnd() {
    PooledConnection current = connection;
    if (requestWritten && current.connection().isOpen()) {
      endOnce(handler::onEnd);
      connectionReleaser.accept(current);
    } else {
      endOnce(handler::onEnd);
      current.close();
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
