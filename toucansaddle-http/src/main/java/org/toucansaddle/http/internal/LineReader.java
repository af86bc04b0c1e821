package org.toucansaddle.http.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.toucansaddle.http.MalformedResponseException;

/**
 * Reads lines of a response that end with CRLF. Bytes may be split anywhere. Not thread-safe.
 *
 * <p>A byte that no line may contain is found when it arrives, not with the end of its line.
 */
final class LineReader {

  private static final int INITIAL_BYTES = 128;
  private static final int DELETE = 0x7f;

  private final int maxBytes;
  private byte[] line = new byte[INITIAL_BYTES];
  private int length;
  private int total;
  private boolean afterCarriageReturn;

  /**
   * Creates a reader.
   *
   * @param maxBytes maximum size of all lines together
   */
  LineReader(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Consumes bytes up to the end of a line.
   *
   * @return the line without its end; null if more bytes are needed
   */
  String readLine(ByteBuffer in) throws MalformedResponseException {
    while (in.hasRemaining()) {
      byte next = in.get();
      checkSize();
      if (afterCarriageReturn) {
        if (next != '\n') {
          throw new MalformedResponseException(
              "byte 0x%02x after a carriage return, expected a line feed".formatted(next));
        }
        String text = new String(line, 0, length, StandardCharsets.ISO_8859_1);
        length = 0;
        afterCarriageReturn = false;
        return text;
      }
      if (next == '\r') {
        afterCarriageReturn = true;
      } else {
        append(next);
      }
    }
    return null;
  }

  private void checkSize() throws MalformedResponseException {
    total++;
    if (total > maxBytes) {
      throw new MalformedResponseException("lines of more than " + maxBytes + " bytes");
    }
  }

  private void append(byte next) throws MalformedResponseException {
    if (isControl(next)) {
      throw new MalformedResponseException("control byte 0x%02x in a line".formatted(next));
    }
    if (length == line.length) {
      line = Arrays.copyOf(line, 2 * length);
    }
    line[length] = next;
    length++;
  }

  private static boolean isControl(byte next) {
    return next >= 0 && next < ' ' && next != '\t' || next == DELETE;
  }

  /** Starts to count the size of lines anew. */
  void reset() {
    total = 0;
  }
}
