package org.toucansaddle.http.internal;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpExchange;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.http.HttpStreamHandler;

/**
 * Buffers a complete response in memory.
 *
 * <p>The future is thread-safe; everything else is confined to the I/O thread.
 */
final class BufferedResponseHandler implements HttpStreamHandler {

  private final int maxBodyBytes;
  private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private Map<String, String> headers = Map.of();

  BufferedResponseHandler(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  CompletableFuture<HttpResponse> future() {
    return future;
  }

  void onTimeout(HttpExchange exchange) {
    HttpException timeout =
        new HttpException(
            HttpException.Kind.TIMEOUT,
            true,
            "The server did not respond within the timeout."
                + " Retry, or increase the timeout of the request.",
            null);
    if (future.completeExceptionally(timeout)) {
      exchange.cancel();
    }
  }

  @Override
  public void onHead(int newStatus, Map<String, String> newHeaders) {
    status = newStatus;
    headers = newHeaders;
  }

  @Override
  public void onData(ByteBuffer data) {
    if (body.size() + data.remaining() > maxBodyBytes) {
      future.completeExceptionally(
          new HttpException(
              HttpException.Kind.TOO_LONG,
              true,
              "The response is longer than "
                  + maxBodyBytes
                  + " bytes. Request less data at a time.",
              null));
      return;
    }
    byte[] bytes = new byte[data.remaining()];
    data.get(bytes);
    body.writeBytes(bytes);
  }

  @Override
  public void onEnd() {
    future.complete(new HttpResponse(status, headers, body.toByteArray()));
  }

  @Override
  public void onFailure(HttpException failure) {
    future.completeExceptionally(failure);
  }
}
