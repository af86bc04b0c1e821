package org.toucansaddle.http.internal;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.toucansaddle.http.MalformedResponseException;

/**
 * The first line of a response (RFC 9112, section 4). Immutable.
 *
 * @param status status code, 100 to 599, but not 101: no request asks for another protocol
 */
record StatusLine(boolean version11, int status) {

  private static final Pattern SYNTAX = Pattern.compile("HTTP/1\\.([01]) ([0-9]{3}) .*");
  private static final int MIN_STATUS = 100;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final int SWITCHING_PROTOCOLS = 101;

  static StatusLine parse(String line) throws MalformedResponseException {
    Matcher matcher = SYNTAX.matcher(line);
    if (!matcher.matches()) {
      throw new MalformedResponseException(
          "status line '%s', expected one such as 'HTTP/1.1 200 OK'"
              .formatted(FieldLines.shown(line)));
    }
    int status = Integer.parseInt(matcher.group(2));
    if (status < MIN_STATUS || status > MAX_STATUS) {
      throw new MalformedResponseException(
          "status %03d, expected %d to %d".formatted(status, MIN_STATUS, MAX_STATUS));
    }
    if (status == SWITCHING_PROTOCOLS) {
      throw new MalformedResponseException("status 101, but no request asked for a protocol");
    }
    return new StatusLine(matcher.group(1).equals("1"), status);
  }

  /** Returns whether another response follows to the same request. */
  boolean isInterim() {
    return status < MIN_FINAL_STATUS;
  }
}
