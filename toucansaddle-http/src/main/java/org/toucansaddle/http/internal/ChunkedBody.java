package org.toucansaddle.http.internal;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.regex.Pattern;
import org.toucansaddle.http.MalformedResponseException;

/** A body in chunks (RFC 9112, section 7.1), whose trailer is checked and dropped. */
final class ChunkedBody implements ResponseBody {

  private static final int MAX_LINE_BYTES = 8 * 1024;
  private static final int HEXADECIMAL = 16;
  private static final long MAX_SHIFTABLE = Long.MAX_VALUE / HEXADECIMAL;
  private static final Pattern EXTENSIONS = Pattern.compile("[ \t]*;.*");

  private enum Part {
    SIZE,
    CONTENT,
    CARRIAGE_RETURN,
    LINE_FEED,
    TRAILER,
    NONE
  }

  private final LineReader lines = new LineReader(MAX_LINE_BYTES);
  private Part part = Part.SIZE;
  private long missingBytes;

  @Override
  public void transfer(ByteBuffer from, ByteBuffer to) throws MalformedResponseException {
    while (from.hasRemaining() && part != Part.NONE) {
      switch (part) {
        case CONTENT -> {
          missingBytes -= ResponseBody.move(from, to, missingBytes);
          if (missingBytes > 0) {
            return;
          }
          part = Part.CARRIAGE_RETURN;
        }
        case CARRIAGE_RETURN -> {
          expect('\r', from.get());
          part = Part.LINE_FEED;
        }
        case LINE_FEED -> {
          expect('\n', from.get());
          part = Part.SIZE;
        }
        default -> {
          String line = lines.readLine(from);
          if (line != null) {
            onLine(line);
          }
        }
      }
    }
  }

  private static void expect(char expected, byte found) throws MalformedResponseException {
    if (found != expected) {
      throw new MalformedResponseException(
          "byte 0x%02x after the content of a chunk, expected a line end".formatted(found));
    }
  }

  private void onLine(String line) throws MalformedResponseException {
    if (part == Part.SIZE) {
      missingBytes = parseSize(line);
      part = missingBytes == 0 ? Part.TRAILER : Part.CONTENT;
      lines.reset();
    } else if (line.isEmpty()) {
      part = Part.NONE;
    } else {
      FieldLines.addTo(new HeaderMap(), line);
    }
  }

  private static long parseSize(String line) throws MalformedResponseException {
    long size = 0;
    int digits = 0;
    while (digits < line.length() && size <= MAX_SHIFTABLE && isDigit(line.charAt(digits))) {
      size = size * HEXADECIMAL + Character.digit(line.charAt(digits), HEXADECIMAL);
      digits++;
    }
    String rest = line.substring(digits);
    if (digits == 0 || !rest.isEmpty() && !EXTENSIONS.matcher(rest).matches()) {
      throw new MalformedResponseException(
          "chunk size '%s', expected a hexadecimal number".formatted(FieldLines.shown(line)));
    }
    return size;
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9' || c >= 'A' && c <= 'F' || c >= 'a' && c <= 'f';
  }

  @Override
  public boolean isComplete() {
    return part == Part.NONE;
  }

  @Override
  public void endConnection() throws IOException {
    if (!isComplete()) {
      throw new IOException("the connection ended before the last chunk");
    }
  }
}
