package org.toucansaddle.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the complete body of a request on its I/O thread without blocking.
 *
 * <pre>{@code
 * RequestBody.read(exchange, 64 * 1024, body -> handle(body), failure -> reject(failure));
 * }</pre>
 *
 * <p>Exactly one of the consumers is called, once. Undertow's own receiver copies bodies byte by
 * byte, which takes most of a router's processor time. Confined to the I/O thread of the exchange.
 *
 * <p>Servers set {@code UndertowOptions.MAX_ENTITY_SIZE} to {@link #SERVER_MAX_BYTES}.
 */
public final class RequestBody {

  /**
   * Size of a body in bytes, with its framing, above which servers reset the connection.
   *
   * <p>It exceeds all limits passed to {@link #read}, so that longer bodies are read to their end
   * and their senders receive the response. Undertow's default is 2 MiB.
   */
  public static final long SERVER_MAX_BYTES = 128L << 20;

  private static final int INITIAL_BYTES = 16 * 1024;

  private final HttpServerExchange exchange;
  private final StreamSourceChannel channel;
  private final long maxBytes;
  private final Consumer<byte[]> onBody;
  private final Consumer<IOException> onFailure;
  private final ByteBudget budget;
  private final ByteBudget.Holding holding;
  private ByteArrayOutputStream content;

  private RequestBody(
      HttpServerExchange exchange,
      long maxBytes,
      ByteBudget budget,
      Consumer<byte[]> onBody,
      Consumer<IOException> onFailure) {
    this.exchange = exchange;
    this.channel = exchange.getRequestChannel();
    this.maxBytes = maxBytes;
    this.onBody = onBody;
    this.onFailure = onFailure;
    this.budget = budget;
    this.holding = budget.open();
    // The announced length is not trusted with more memory until the content arrives.
    long expected = Math.min(INITIAL_BYTES, exchange.getRequestContentLength());
    this.content = new ByteArrayOutputStream((int) Math.max(0, expected));
  }

  /** Reads the body without a bound of all bodies in sum; otherwise like the other method. */
  public static void read(
      HttpServerExchange exchange,
      long maxBytes,
      Consumer<byte[]> onBody,
      Consumer<IOException> onFailure) {
    read(exchange, maxBytes, new ByteBudget(Long.MAX_VALUE), onBody, onFailure);
  }

  /**
   * Reads the body; called by a handler, on the I/O thread.
   *
   * @param maxBytes maximum size of the body, in bytes
   * @param budget counts the bytes of the body from their arrival until the exchange is complete
   * @param onBody receives the body, which is empty if the request has none
   * @param onFailure receives the reason if the body is too long or does not arrive completely; a
   *     {@link NoRoomException} if the budget is used up
   * @throws IllegalStateException if the body has been read already
   */
  public static void read(
      HttpServerExchange exchange,
      long maxBytes,
      ByteBudget budget,
      Consumer<byte[]> onBody,
      Consumer<IOException> onFailure) {
    if (exchange.isRequestComplete()) {
      onBody.accept(new byte[0]);
      return;
    }
    RequestBody body = new RequestBody(exchange, maxBytes, budget, onBody, onFailure);
    if (body.channel == null) {
      throw new IllegalStateException("The body of the request has been read already.");
    }
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          body.holding.close();
          next.proceed();
        });
    if (HttpContinue.requiresContinueResponse(exchange)) {
      body.readAfterContinue();
    } else {
      body.start();
    }
  }

  private void readAfterContinue() {
    HttpContinue.sendContinueResponse(
        exchange,
        new IoCallback() {
          @Override
          public void onComplete(HttpServerExchange continued, Sender sender) {
            resume();
          }

          @Override
          public void onException(HttpServerExchange failed, Sender sender, IOException cause) {
            callHandler(() -> onFailure.accept(cause));
          }
        });
  }

  private void start() {
    Runnable result = readAvailable();
    if (result != null) {
      result.run();
    } else {
      resume();
    }
  }

  private void resume() {
    channel.getReadSetter().set(readable -> onReadable());
    channel.resumeReads();
  }

  private void onReadable() {
    Runnable result = readAvailable();
    if (result != null) {
      channel.getReadSetter().set(null);
      channel.suspendReads();
      callHandler(result);
    }
  }

  /** Runs a consumer as part of the handler, so that Undertow ends the exchange if it throws. */
  private void callHandler(Runnable result) {
    Connectors.executeRootHandler(handled -> result.run(), exchange);
  }

  /** Drops what was read, so that the others can be read completely. */
  private void giveUp() {
    content = new ByteArrayOutputStream(0);
    holding.close();
    onFailure.accept(new NoRoomException(budget.heldBytes()));
  }

  /** Reads until no content is available; returns the call of a consumer at the end of the body. */
  private Runnable readAvailable() {
    try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      byte[] copy = new byte[Math.min(buffer.capacity(), INITIAL_BYTES)];
      while (true) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count < 0) {
          return () -> onBody.accept(content.toByteArray());
        }
        if (count == 0) {
          return null;
        }
        if (content.size() + (long) count > maxBytes) {
          IOException tooLong =
              new IOException(
                  "The body is longer than " + maxBytes + " bytes; send a shorter one.");
          return () -> onFailure.accept(tooLong);
        }
        if (!holding.grow(count)) {
          return this::giveUp;
        }
        buffer.flip();
        while (buffer.hasRemaining()) {
          int part = Math.min(buffer.remaining(), copy.length);
          buffer.get(copy, 0, part);
          content.write(copy, 0, part);
        }
      }
    } catch (IOException e) {
      return () -> onFailure.accept(e);
    }
  }
}
