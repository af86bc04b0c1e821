package org.toucansaddle.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A whole HTTP answer. Immutable by agreement: nobody changes {@code body}.
 *
 * @param status HTTP status code
 * @param headers first value of each header field, by name in any case
 * @param body content
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

  /** Copies the headers into a map that ignores case. */
  public HttpResponse {
    Map<String, String> sorted = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    sorted.putAll(headers);
    headers = sorted;
  }

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns a header field's value. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }
}
