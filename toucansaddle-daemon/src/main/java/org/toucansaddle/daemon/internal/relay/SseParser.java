package org.toucansaddle.daemon.internal.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into events.
 *
 * <p>Not thread-safe.
 */
final class SseParser {

  private static final int INITIAL_BYTES = 512;
  private static final int MAX_LINE_BYTES = 1 << 20;
  private static final byte[] NONE = new byte[0];
  private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

  /** Receives events. */
  @FunctionalInterface
  interface EventHandler {
    /** Called with an event's id, or an empty string, and its data in UTF-8. */
    void onEvent(String id, byte[] data);
  }

  private final EventHandler handler;
  private byte[] line = new byte[INITIAL_BYTES];
  private int length;
  private String id = "";
  private byte[] data = NONE;

  SseParser(EventHandler handler) {
    this.handler = handler;
  }

  /** Takes bytes of the stream; returns false if a line is too long to be one of ours. */
  boolean accept(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      if (next == '\n') {
        endLine();
      } else if (next != '\r' && !append(next)) {
        return false;
      }
    }
    return true;
  }

  private boolean append(byte next) {
    if (length == line.length) {
      if (length >= MAX_LINE_BYTES) {
        return false;
      }
      line = Arrays.copyOf(line, length * 2);
    }
    line[length++] = next;
    return true;
  }

  private void endLine() {
    if (length == 0) {
      dispatch();
    } else if (startsWith(DATA)) {
      data = joined(data, value(DATA.length));
    } else if (startsWith(ID)) {
      id = new String(value(ID.length), StandardCharsets.UTF_8);
    }
    length = 0;
  }

  private boolean startsWith(byte[] prefix) {
    return length >= prefix.length
        && Arrays.equals(line, 0, prefix.length, prefix, 0, prefix.length);
  }

  private byte[] value(int start) {
    boolean space = length > start && line[start] == ' ';
    return Arrays.copyOfRange(line, space ? start + 1 : start, length);
  }

  private static byte[] joined(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }

  private void dispatch() {
    if (data.length > 0) {
      byte[] complete = data;
      data = NONE;
      handler.onEvent(id, complete);
    }
  }
}
