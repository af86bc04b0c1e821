package org.toucansaddle.http.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads all bytes of a connection as one response by the grammar of RFC 9112, as the reference that
 * clients are compared with. Immutable.
 */
record StrictResponse(int status, String body) {

  private static final String TEXT = "[\t\\x20-\\x7e\\x80-\\xff]*";
  private static final String FIELD = "[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + TEXT + "\r\n";
  private static final Pattern HEAD =
      Pattern.compile("HTTP/1\\.([01]) ([1-5][0-9][0-9]) " + TEXT + "\r\n((?:" + FIELD + ")*)\r\n");
  private static final Pattern CHUNK =
      Pattern.compile("([0-9A-Fa-f]+)(?:[ \t]*;" + TEXT + ")?\r\n");
  private static final Pattern TRAILER = Pattern.compile("(?:" + FIELD + ")*\r\n");

  /** Returns the response; empty if the bytes are no complete and valid response to a GET. */
  static Optional<StrictResponse> parse(String bytes) {
    Matcher head = HEAD.matcher(bytes);
    if (!head.lookingAt()) {
      return Optional.empty();
    }
    int status = Integer.parseInt(head.group(2));
    String rest = bytes.substring(head.end());
    if (status < 200) {
      return status == 101 ? Optional.empty() : parse(rest);
    }
    List<String> codings = values(head.group(3), "transfer-encoding");
    List<String> lengths = values(head.group(3), "content-length");
    boolean declaresContent =
        !codings.isEmpty() || lengths.stream().anyMatch(length -> !length.matches("0+"));
    if (status == 204 && declaresContent) {
      return Optional.empty();
    }
    Optional<String> body;
    if (!codings.isEmpty()) {
      boolean chunked = codings.equals(List.of("chunked")) && lengths.isEmpty();
      body = chunked && head.group(1).equals("1") ? parseChunks(rest) : Optional.empty();
    } else if (lengths.isEmpty()) {
      body = Optional.of(rest);
    } else {
      boolean valid =
          lengths.stream().allMatch(length -> length.matches("[0-9]+"))
              && lengths.stream().map(Long::parseLong).distinct().count() == 1;
      body = valid ? prefix(rest, Long.parseLong(lengths.get(0))) : Optional.empty();
    }
    boolean empty = status == 204 || status == 304;
    boolean framed = codings.isEmpty() && lengths.isEmpty() || body.isPresent();
    return empty
        ? Optional.of(new StrictResponse(status, "")).filter(response -> framed)
        : body.map(content -> new StrictResponse(status, content));
  }

  private static List<String> values(String fields, String name) {
    List<String> values = new ArrayList<>();
    for (String line : fields.split("\r\n")) {
      String lowerCase = line.toLowerCase(Locale.ROOT);
      if (lowerCase.startsWith(name + ":")) {
        for (String value : lowerCase.substring(name.length() + 1).split(",", -1)) {
          values.add(value.replaceAll("^[ \t]+|[ \t]+$", ""));
        }
      }
    }
    return values;
  }

  private static Optional<String> prefix(String text, long length) {
    return text.length() < length ? Optional.empty() : Optional.of(text.substring(0, (int) length));
  }

  private static Optional<String> parseChunks(String text) {
    StringBuilder body = new StringBuilder();
    String rest = text;
    while (true) {
      Matcher size = CHUNK.matcher(rest);
      if (!size.lookingAt()) {
        return Optional.empty();
      }
      int length = Integer.parseInt(size.group(1), 16);
      rest = rest.substring(size.end());
      if (length == 0) {
        boolean ended = TRAILER.matcher(rest).lookingAt();
        return ended ? Optional.of(body.toString()) : Optional.empty();
      }
      if (rest.length() < length + 2 || !rest.startsWith("\r\n", length)) {
        return Optional.empty();
      }
      body.append(rest, 0, length);
      rest = rest.substring(length + 2);
    }
  }
}
