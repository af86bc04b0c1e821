package org.toucansaddle.http.internal;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Set;
import org.toucansaddle.http.MalformedResponseException;
import org.toucansaddle.http.ResponseHead;

/**
 * Reads the head of a response and skips interim responses before it. Not thread-safe.
 *
 * <p>Whatever is no valid head fails: the end of its body could be elsewhere than it seems, and
 * what is read as its content could be something else.
 */
public final class ResponseHeadReader {

  private static final int MAX_HEAD_BYTES = 64 * 1024;

  /** Statuses of responses that end with their head. */
  private static final Set<Integer> BODILESS =
      Set.of(StatusCodes.NO_CONTENT, StatusCodes.NOT_MODIFIED);

  private final LineReader lines = new LineReader(MAX_HEAD_BYTES);
  private StatusLine statusLine;
  private HeaderMap fields = new HeaderMap();
  private BodyLength bodyLength;

  /**
   * Consumes bytes up to the end of the head.
   *
   * @return the head; null if more bytes are needed
   */
  public ResponseHead read(ByteBuffer in) throws MalformedResponseException {
    for (String line = lines.readLine(in); line != null; line = lines.readLine(in)) {
      if (statusLine == null) {
        statusLine = StatusLine.parse(line);
      } else if (!line.isEmpty()) {
        FieldLines.addTo(fields, line);
      } else if (statusLine.isInterim()) {
        statusLine = null;
        fields = new HeaderMap();
      } else {
        bodyLength = BodyLength.of(statusLine.version11(), fields);
        checkContentAllowed();
        return new ResponseHead(statusLine.status(), fields, bodyLength.framing(), isPersistent());
      }
    }
    return null;
  }

  /** Fails if the fields declare content that the status rules out (RFC 9110, section 8.6). */
  private void checkContentAllowed() throws MalformedResponseException {
    if (statusLine.status() == StatusCodes.NO_CONTENT && bodyLength.declaresContent()) {
      throw new MalformedResponseException(
          "status 204 with content (%s), expected none".formatted(bodyLength.framing()));
    }
  }

  /**
   * Creates the body of the response whose head was read.
   *
   * @param expected whether the request allows a body
   */
  public ResponseBody createBody(boolean expected) {
    if (!expected || BODILESS.contains(statusLine.status())) {
      return ResponseBody.ofLength(0);
    }
    return switch (bodyLength.framing()) {
      case LENGTH -> ResponseBody.ofLength(bodyLength.bytes());
      case CHUNKED -> new ChunkedBody();
      default -> ResponseBody.untilConnectionEnd();
    };
  }

  private boolean isPersistent() {
    return statusLine.version11() ? !hasOption("close") : hasOption("keep-alive");
  }

  private boolean hasOption(String option) {
    HeaderValues values = fields.get(Headers.CONNECTION);
    if (values == null) {
      return false;
    }
    for (String value : String.join(",", values).toLowerCase(Locale.ROOT).split(",")) {
      if (value.strip().equals(option)) {
        return true;
      }
    }
    return false;
  }
}
