package org.toucansaddle.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * An HTTP request, built by the factory and {@code with} methods.
 *
 * <pre>{@code
 * HttpRequest request = HttpRequest.post("127.0.0.1:8080", "/v1/completions", json)
 *     .withHeader("X-Work-Class", "short-answer");
 * }</pre>
 *
 * <p>Immutable by convention: callers must not modify {@code body} after construction.
 *
 * @param target host and port of the server
 * @param method HTTP method
 * @param path path and query
 * @param headers header fields
 * @param body content, empty if there is none
 * @param newConnection whether the request requires a new connection. The server may close a reused
 *     connection at the moment the request is sent, and a request that must not run twice cannot be
 *     retried then.
 */
public record HttpRequest(
    String target,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    boolean newConnection) {

  /** Copies the headers; the target must not be null. */
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

  /** Returns this request with a header field added or replaced. */
  public HttpRequest withHeader(String name, String value) {
    Map<String, String> allHeaders = new LinkedHashMap<>(headers);
    allHeaders.put(name, value);
    return new HttpRequest(target, method, path, allHeaders, body, newConnection);
  }

  /** Returns this request, to be sent on a new connection. */
  public HttpRequest withNewConnection() {
    return new HttpRequest(target, method, path, headers, body, true);
  }
}
