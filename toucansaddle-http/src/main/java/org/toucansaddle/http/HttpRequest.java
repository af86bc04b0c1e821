package org.toucansaddle.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * An HTTP request; build one with a factory and {@code with} methods.
 *
 * <pre>{@code
 * HttpRequest call = HttpRequest.post("127.0.0.1:8080", "/v1/completions", json)
 *     .withHeader("X-Work-Class", "short-answer");
 * }</pre>
 *
 * <p>Immutable by agreement: nobody changes {@code body} after construction.
 *
 * @param target host and port
 * @param method HTTP method
 * @param path path and query
 * @param headers header fields
 * @param body content, empty for none
 * @param fresh whether the call needs a new connection, because it must not run twice: a reused one
 *     may have been closed by the other end in the same moment
 */
public record HttpRequest(
    String target,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    boolean newConnection) {

  /** Copies the headers. */
  public HttpRequest {
    Objects.requireNonNull(target, "target");
    headers = Map.copyOf(headers);
  }

  /** Returns a GET request. */
  public static HttpRequest get(String target, String path) {
    return new HttpRequest(target, "GET", path, Map.of(), new byte[0], false);
  }

  /** Returns a POST request with a JSON body. */
  public static HttpRequest post(String target, String path, String json) {
    return of(target, "POST", path, json);
  }

  /** Returns a request of any method with a JSON body. */
  public static HttpRequest of(String target, String method, String path, String json) {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = Map.of("Content-Type", "application/json");
    return new HttpRequest(target, method, path, headers, body, false);
  }

  /** Returns this request with one more header field. */
  public HttpRequest withHeader(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new HttpRequest(target, method, path, more, body, newConnection);
  }

  /** Returns this request for a connection that carried no other. */
  public HttpRequest withNewConnection() {
    return new HttpRequest(target, method, path, headers, body, true);
  }
}
