package org.toucansaddle.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A complete HTTP response. Immutable by convention: callers must not modify {@code headers} or
 * {@code body}.
 *
 * @param status HTTP status code
 * @param headers values of each header field, joined by commas; names are case-insensitive
 * @param body content, empty if there is none
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

  /** Copies the headers into a case-insensitive map. */
  public HttpResponse {
    Map<String, String> caseInsensitive = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    caseInsensitive.putAll(headers);
    headers = caseInsensitive;
  }

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns the values of a header field, joined by commas; empty if the field is absent. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }
}
