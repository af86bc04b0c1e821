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
   * @throws MalformedResponseException if the lengths are no numbers or differ
   */
  static BodyLength of(HeaderMap fields) throws MalformedResponseException {
    if (CHUNKED.equalsIgnoreCase(fields.getLast(Headers.TRANSFER_ENCODING))) {
      return new BodyLength(ResponseFraming.CHUNKED, 0);
    }
    HeaderValues lengths = fields.get(Headers.CONTENT_LENGTH);
    if (lengths == null) {
      return new BodyLength(ResponseFraming.CONNECTION_END, 0);
    }
    long bytes = parseLength(lengths);
    fields.put(Headers.CONTENT_LENGTH, bytes);
    return new BodyLength(ResponseFraming.LENGTH, bytes);
  }

  private static long parseLength(HeaderValues lengths) throws MalformedResponseException {
    long length = -1;
    for (String text : String.join(",", lengths).split(",", -1)) {
      String digits = FieldLines.trimmed(text);
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
