package org.toucansaddle.daemon.internal.request;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;

/** Length of a request's head. Stateless and thread-safe. */
public final class HeadSize {

  private HeadSize() {}

  /** Returns the bytes of the request line and the header fields, without separators. */
  public static int of(HttpServerExchange exchange) {
    int bytes = exchange.getRequestURI().length() + exchange.getQueryString().length();
    HeaderMap headers = exchange.getRequestHeaders();
    for (long at = headers.fastIterate(); at != -1; at = headers.fiNext(at)) {
      HeaderValues values = headers.fiCurrent(at);
      for (int i = 0; i < values.size(); i++) {
        bytes += values.getHeaderName().length() + values.get(i).length();
      }
    }
    return bytes;
  }
}
