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

  /** Receives events. */
  @FunctionalInterface
  interface EventHandler {
    /** Called with an event's id, or an empty string, and its data. */
    void onEvent(String id, String data);
  }

  private final EventHandler handler;
  private byte[] line = new byte[INITIAL_BYTES];
  private int length;
  private String id = "";
  private final StringBuilder data = new StringBuilder();

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
    String text = new String(line, 0, length, StandardCharsets.UTF_8);
    length = 0;
    if (text.isEmpty()) {
      dispatch();
    } else if (text.startsWith("data:")) {
      data.append(value(text, 5));
    } else if (text.startsWith("id:")) {
      id = value(text, 3);
    }
  }

  private static String value(String text, int start) {
    boolean space = text.length() > start && text.charAt(start) == ' ';
    return text.substring(space ? start + 1 : start);
  }

  private void dispatch() {
    if (data.length() > 0) {
      String complete = data.toString();
      data.setLength(0);
      handler.onEvent(id, complete);
    }
  }
}
