package org.toucansaddle.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * An HTTP request; build one with a factory and {@code with} methods.
 *
 * <pre>{@code
 * HttpCall call = HttpCall.post("127.0.0.1:8080", "/v1/completions", json)
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
public record HttpCall(
    String target,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    boolean fresh) {

  /** Copies the headers. */
  public HttpCall {
    Objects.requireNonNull(target, "target");
    headers = Map.copyOf(headers);
  }

  /** Returns a GET request. */
  public static HttpCall get(String target, String path) {
    return new HttpCall(target, "GET", path, Map.of(), new byte[0], false);
  }

  /** Returns a POST request with a JSON body. */
  public static HttpCall post(String target, String path, String json) {
    return of(target, "POST", path, json);
  }

  /** Returns a request of any method with a JSON body. */
  public static HttpCall of(String target, String method, String path, String json) {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = Map.of("Content-Type", "application/json");
    return new HttpCall(target, method, path, headers, body, false);
  }

  /** Returns this request with one more header field. */
  public HttpCall withHeader(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new HttpCall(target, method, path, more, body, fresh);
  }

  /** Returns this request for a connection that carried no other. */
  public HttpCall withFreshConnection() {
    return new HttpCall(target, method, path, headers, body, true);
  }
}
