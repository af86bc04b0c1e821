package org.toucansaddle.daemon.internal.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Parses a byte stream of server-sent events. Reads the fields {@code id} and {@code data} and
 * ignores others. Not thread-safe.
 */
final class SseParser {

  private static final int INITIAL_LINE_BYTES = 512;
  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

  /** Receives parsed events. */
  @FunctionalInterface
  interface EventHandler {
    /** Called with an event's id, or an empty string, and its data in UTF-8. */
    void onEvent(String id, byte[] data);
  }

  private final EventHandler handler;
  private byte[] line = new byte[INITIAL_LINE_BYTES];
  private int length;
  private String id = "";
  private final ByteArrayOutputStream data = new ByteArrayOutputStream();

  SseParser(EventHandler handler) {
    this.handler = handler;
  }

  /** Parses more bytes; returns false if an event exceeds {@code MAX_EVENT_BYTES}. */
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
    if (length + data.size() >= MAX_EVENT_BYTES) {
      return false;
    }
    if (length == line.length) {
      line = Arrays.copyOf(line, length * 2);
    }
    line[length++] = next;
    return true;
  }

  private void endLine() {
    if (length == 0) {
      dispatch();
    } else if (startsWith(DATA)) {
      data.writeBytes(value(DATA.length));
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

  private void dispatch() {
    if (data.size() > 0) {
      byte[] complete = data.toByteArray();
      data.reset();
      handler.onEvent(id, complete);
    }
  }
}
