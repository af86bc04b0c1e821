package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.xnio.IoUtils;

/** Writes error responses of the router as problem details. Stateless and thread-safe. */
final class ErrorResponseWriter {

  private ErrorResponseWriter() {}

  /**
   * Sends an error response, or closes the connection if another response has begun.
   *
   * @param closeConnection whether the caller's connection is closed after the response, unless the
   *     next request on it was read
   */
  static void send(
      HttpServerExchange exchange, String requestId, ErrorResponse error, boolean closeConnection) {
    if (exchange.isResponseStarted()) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    exchange.setStatusCode(error.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
    if (error.retryAfterMillis() > 0) {
      String seconds = String.format(Locale.ROOT, "%.3f", error.retryAfterMillis() / 1_000.0);
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
    }
    if (closeConnection && !CallerConnections.hasNextRequest(exchange.getConnection())) {
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    }
    exchange.getResponseSender().send(toJson(requestId, error), StandardCharsets.UTF_8);
  }

  private static String toJson(String requestId, ErrorResponse error) {
    return "{\"type\":\""
        + error.type()
        + "\",\"status\":"
        + error.status()
        + ",\"run\":\""
        + error.runState().text()
        + "\",\"request\":\""
        + escapeJson(requestId)
        + "\",\"detail\":\""
        + escapeJson(error.detail())
        + "\"}";
  }

  private static String escapeJson(String text) {
    StringBuilder out = new StringBuilder(text.length());
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else {
        out.append(c < ' ' ? ' ' : c);
      }
    }
    return out.toString();
  }
}
