package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.xnio.IoUtils;

/** Writes the router's own answers. Stateless and thread-safe. */
final class ErrorResponseWriter {

  private ErrorResponseWriter() {}

  /** Sends a final answer. */
  static void send(
      HttpServerExchange exchange, String requestId, ErrorResponse refusal, boolean closing) {
    if (exchange.isResponseStarted()) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    exchange.setStatusCode(refusal.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
    if (refusal.retryAfterMillis() > 0) {
      String seconds = String.format(Locale.ROOT, "%.3f", refusal.retryAfterMillis() / 1_000.0);
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
    }
    if (closing) {
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    }
    exchange.getResponseSender().send(toJson(requestId, refusal), StandardCharsets.UTF_8);
  }

  private static String toJson(String requestId, ErrorResponse refusal) {
    return "{\"type\":\""
        + refusal.type()
        + "\",\"status\":"
        + refusal.status()
        + ",\"run\":\""
        + refusal.runState().text()
        + "\",\"request\":\""
        + escapeJson(requestId)
        + "\",\"detail\":\""
        + escapeJson(refusal.detail())
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
