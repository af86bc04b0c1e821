package org.toucansaddle.daemon.internal.request;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;

/** Measures the head of a request. Stateless and thread-safe. */
public final class HeadSize {

  private HeadSize() {}

  /**
   * Returns the size in bytes of the request target and the header fields, without separators.
   *
   * <p>The method and the protocol version are not counted.
   */
  public static int of(HttpServerExchange exchange) {
    int bytes = exchange.getRequestURI().length() + ReceivedQuery.of(exchange).length();
    HeaderMap headers = exchange.getRequestHeaders();
    for (long cookie = headers.fastIterate(); cookie != -1; cookie = headers.fiNext(cookie)) {
      HeaderValues values = headers.fiCurrent(cookie);
      for (int i = 0; i < values.size(); i++) {
        bytes += values.getHeaderName().length() + values.get(i).length();
      }
    }
    return bytes;
  }
}
