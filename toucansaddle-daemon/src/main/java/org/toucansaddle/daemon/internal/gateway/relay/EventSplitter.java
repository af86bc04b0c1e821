package org.toucansaddle.daemon.internal.gateway.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into complete events and tracks their ids.
 *
 * <p>Bytes after the last complete event are buffered, since the upstream may fail within an event.
 * Events up to the last forwarded id are dropped, so that a stream resumed at another upstream
 * contains no duplicates. Not thread-safe.
 */
final class EventSplitter {

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();
  private long lastEventId = -1;
  private boolean gap;

  /** Returns the id of the last forwarded event; -1 if there was none. */
  long lastEventId() {
    return lastEventId;
  }

  /** Returns whether an event id did not directly follow the previous one. */
  boolean hasGap() {
    return gap;
  }

  /** Discards a truncated event and a gap before another upstream resumes the stream. */
  void prepareResume() {
    partialEvent.reset();
    gap = false;
  }

  /** Returns whether an incomplete event is buffered. */
  boolean hasPartialEvent() {
    return partialEvent.size() > 0;
  }

  /** Removes and returns the buffered bytes. */
  byte[] drainPartialEvent() {
    byte[] remainder = partialEvent.toByteArray();
    partialEvent.reset();
    return remainder;
  }

  /** Consumes bytes and returns the events that they complete. */
  ByteBuffer accept(ByteBuffer data) {
    byte[] bytes = new byte[data.remaining()];
    data.get(bytes);
    partialEvent.writeBytes(bytes);
    byte[] all = partialEvent.toByteArray();
    ByteArrayOutputStream complete = new ByteArrayOutputStream(all.length);
    int start = 0;
    for (int end = endOfEvent(all, start); end > 0; end = endOfEvent(all, start)) {
      if (acceptEvent(all, start, end)) {
        complete.write(all, start, end - start);
      }
      start = end;
    }
    partialEvent.reset();
    partialEvent.write(all, start, all.length - start);
    return ByteBuffer.wrap(complete.toByteArray());
  }

  private static int endOfEvent(byte[] bytes, int from) {
    int lineStart = from;
    for (int i = from; i < bytes.length; i++) {
      if (bytes[i] != '\n') {
        continue;
      }
      int length = i - lineStart - (i > lineStart && bytes[i - 1] == '\r' ? 1 : 0);
      if (length == 0 && lineStart > from) {
        return i + 1;
      }
      lineStart = i + 1;
    }
    return -1;
  }

  private boolean acceptEvent(byte[] bytes, int start, int end) {
    long id = parseEventId(bytes, start, end);
    if (id < 0) {
      return true;
    }
    if (id <= lastEventId) {
      return false;
    }
    if (lastEventId >= 0 && id != lastEventId + 1) {
      gap = true;
    }
    if (gap) {
      return false;
    }
    lastEventId = id;
    return true;
  }

  private static long parseEventId(byte[] bytes, int start, int end) {
    boolean atLineStart = true;
    for (int i = start; i + ID_FIELD.length < end; i++) {
      if (atLineStart
          && bytes[i] == ID_FIELD[0]
          && bytes[i + 1] == ID_FIELD[1]
          && bytes[i + 2] == ID_FIELD[2]) {
        return parseNumber(bytes, i + ID_FIELD.length, end);
      }
      atLineStart = bytes[i] == '\n';
    }
    return -1;
  }

  private static long parseNumber(byte[] bytes, int from, int end) {
    int i = from;
    while (i < end && bytes[i] == ' ') {
      i++;
    }
    long value = -1;
    for (; i < end && bytes[i] >= '0' && bytes[i] <= '9'; i++) {
      value = Math.max(0, value) * 10 + bytes[i] - '0';
    }
    return value;
  }
}
