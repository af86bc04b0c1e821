package org.toucansaddle.http.internal;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.toucansaddle.http.MalformedResponseException;

/**
 * The first line of a response (RFC 9112, section 4). Immutable.
 *
 * @param status status code of three digits
 */
record StatusLine(boolean version11, int status) {

  private static final Pattern SYNTAX = Pattern.compile("HTTP/1\\.([01]) ([0-9]{3}) .*");
  private static final int CONTINUE = 100;

  static StatusLine parse(String line) throws MalformedResponseException {
    Matcher matcher = SYNTAX.matcher(line);
    if (!matcher.matches()) {
      throw new MalformedResponseException(
          "status line '%s', expected one such as 'HTTP/1.1 200 OK'"
              .formatted(FieldLines.shown(line)));
    }
    int status = Integer.parseInt(matcher.group(2));
    return new StatusLine(matcher.group(1).equals("1"), status);
  }

  /** Returns whether another response follows to the same request. */
  boolean isInterim() {
    return status == CONTINUE;
  }
}
