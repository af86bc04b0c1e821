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
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Drives one exchange on a connection: writes the request, reads the answer.
 *
 * <p>Runs on the connection's I/O thread, but for {@link #cancel}, which is thread-safe. The
 * handler is ended exactly once.
 */
final class ClientExchangeDriver implements HttpExchange {

  private static final int READ_BYTES = 16 * 1024;
  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(READ_BYTES));

  private final HttpRequest call;
  private final HttpStreamHandler handler;
  private final Consumer<PooledConnection> onReusable;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile PooledConnection connection;
  private volatile boolean cancelled;
  private boolean requestWritten;

  ClientExchangeDriver(
      HttpRequest call, HttpStreamHandler handler, Consumer<PooledConnection> onReusable) {
    this.call = call;
    this.handler = handler;
    this.onReusable = onReusable;
  }

  /** Sends the request on a connection. */
  void start(PooledConnection pooled) {
    connection = pooled;
    if (cancelled) {
      fail(HttpException.Kind.CANCELLED, false, "The request was cancelled.", null);
      return;
    }
    pooled
        .connection()
        .sendRequest(
            request(),
            new ClientCallback<>() {
              @Override
              public void completed(ClientExchange exchange) {
                onExchange(exchange);
              }

              @Override
              public void failed(IOException e) {
                broken(e);
              }
            });
  }

  void onConnectFailure(HttpException failure) {
    end(() -> handler.onFailure(failure));
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

  private ClientRequest request() {
    ClientRequest request = new ClientRequest();
    request.setMethod(new HttpString(call.method())).setPath(call.path());
    request.getRequestHeaders().put(Headers.HOST, call.target());
    call.headers()
        .forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
    if (call.body().length > 0) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
    }
    return request;
  }

  private void onExchange(ClientExchange exchange) {
    exchange.setResponseListener(
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange result) {
            onResponse(result);
          }

          @Override
          public void failed(IOException e) {
            broken(e);
          }
        });
    StreamSinkChannel sink = exchange.getRequestChannel();
    ByteBuffer body = ByteBuffer.wrap(call.body());
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
                    channel -> bodyWritten(channel), (channel, e) -> broken(e)));
        sink.resumeWrites();
        return;
      }
      bodyWritten(sink);
    } catch (IOException e) {
      broken(e);
    }
  }

  private void bodyWritten(StreamSinkChannel sink) {
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
    source.getReadSetter().set(this::read);
    read(source);
  }

  private void read(StreamSourceChannel source) {
    ByteBuffer buffer = READ_BUFFER.get();
    try {
      while (!ended.get()) {
        buffer.clear();
        int count = source.read(buffer);
        if (count < 0) {
          finished();
          return;
        }
        if (count == 0) {
          source.resumeReads();
          return;
        }
        buffer.flip();
        handler.onData(buffer);
      }
    } catch (IOException e) {
      broken(e);
    }
  }

  private void finished() {
    PooledConnection current = connection;
    if (requestWritten && current.connection().isOpen()) {
      end(handler::onEnd);
      onReusable.accept(current);
    } else {
      end(handler::onEnd);
      current.close();
    }
  }

  private void broken(IOException cause) {
    fail(
        HttpException.Kind.BROKEN,
        true,
        "The connection to "
            + call.target()
            + " broke before the answer was whole ("
            + cause.getMessage()
            + "). Retry only a request that may run twice.",
        cause);
  }

  private void fail(HttpException.Kind kind, boolean written, String message, Throwable cause) {
    boolean first = end(() -> handler.onFailure(new HttpException(kind, written, message, cause)));
    if (first && connection != null) {
      connection.close();
    }
  }

  private boolean end(Runnable action) {
    if (!ended.compareAndSet(false, true)) {
      return false;
    }
    action.run();
    return true;
  }
}
