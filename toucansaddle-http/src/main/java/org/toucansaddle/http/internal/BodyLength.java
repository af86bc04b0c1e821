package org.toucansaddle.http.internal;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.toucansaddle.http.MalformedResponseException;
import org.toucansaddle.http.ResponseFraming;

/**
 * How a response declares its end (RFC 9112, section 6.3). Immutable.
 *
 * @param bytes declared length of the body; 0 unless it is framed by its length
 */
record BodyLength(ResponseFraming framing, long bytes) {

  private static final String CHUNKED = "chunked";

  /**
   * Reads the length from header fields.
   *
   * @throws MalformedResponseException if the length is no number
   */
  static BodyLength of(HeaderMap fields) throws MalformedResponseException {
    if (CHUNKED.equalsIgnoreCase(fields.getLast(Headers.TRANSFER_ENCODING))) {
      return new BodyLength(ResponseFraming.CHUNKED, 0);
    }
    String length = fields.getFirst(Headers.CONTENT_LENGTH);
    if (length == null) {
      return new BodyLength(ResponseFraming.CONNECTION_END, 0);
    }
    long bytes = parseLength(length);
    return new BodyLength(ResponseFraming.LENGTH, bytes);
  }

  private static long parseLength(String length) throws MalformedResponseException {
    try {
      return Long.parseUnsignedLong(length);
    } catch (NumberFormatException e) {
      throw new MalformedResponseException(
          "length '%s', expected a number of bytes".formatted(FieldLines.shown(length)));
    }
  }
}
