package org.toucansaddle.http.internal;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.regex.Pattern;
import org.toucansaddle.http.MalformedResponseException;
import org.toucansaddle.http.ResponseFraming;

/**
 * How a response declares its end (RFC 9112, section 6.3). Immutable.
 *
 * @param bytes declared length of the body; 0 unless it is framed by its length
 */
record BodyLength(ResponseFraming framing, long bytes) {

  private static final Pattern DIGITS = Pattern.compile("0*[0-9]{1,18}");
  private static final String CHUNKED = "chunked";

  /**
   * Reads the length from header fields, in which equal lengths become one.
   *
   * @throws MalformedResponseException if the fields contradict each other or name a transfer
   *     coding that no request accepts
   */
  static BodyLength of(boolean version11, HeaderMap fields) throws MalformedResponseException {
    HeaderValues codings = fields.get(Headers.TRANSFER_ENCODING);
    HeaderValues lengths = fields.get(Headers.CONTENT_LENGTH);
    if (codings != null) {
      checkCoding(codings);
      if (lengths != null || !version11) {
        throw new MalformedResponseException(
            lengths == null
                ? "a transfer coding in HTTP/1.0"
                : "a transfer coding and the length '%s'".formatted(shown(lengths)));
      }
      return new BodyLength(ResponseFraming.CHUNKED, 0);
    }
    if (lengths == null) {
      return new BodyLength(ResponseFraming.CONNECTION_END, 0);
    }
    long bytes = parseLength(lengths);
    fields.put(Headers.CONTENT_LENGTH, bytes);
    return new BodyLength(ResponseFraming.LENGTH, bytes);
  }

  /** Returns whether the fields say that there is content. */
  boolean declaresContent() {
    return framing == ResponseFraming.CHUNKED || bytes > 0;
  }

  private static void checkCoding(HeaderValues codings) throws MalformedResponseException {
    if (codings.size() != 1 || !codings.getFirst().equalsIgnoreCase(CHUNKED)) {
      throw new MalformedResponseException(
          "transfer coding '%s', expected '%s'".formatted(shown(codings), CHUNKED));
    }
  }

  private static long parseLength(HeaderValues lengths) throws MalformedResponseException {
    long length = -1;
    for (String text : String.join(",", lengths).split(",", -1)) {
      String digits = text.strip();
      if (!DIGITS.matcher(digits).matches()) {
        throw new MalformedResponseException(
            "length '%s', expected a number of bytes".formatted(shown(lengths)));
      }
      long value = Long.parseLong(digits);
      if (length >= 0 && value != length) {
        throw new MalformedResponseException(
            "different lengths '%s', expected one".formatted(shown(lengths)));
      }
      length = value;
    }
    return length;
  }

  private static String shown(HeaderValues values) {
    return FieldLines.shown(String.join(", ", values));
  }
}
