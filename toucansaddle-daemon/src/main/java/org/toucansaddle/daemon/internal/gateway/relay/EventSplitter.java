package org.toucansaddle.daemon.internal.gateway.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream into whole events and follows their ids.
 *
 * <p>Bytes after the last whole event are kept back, since the upstream may stop in the middle of
 * one. Events up to the last id that was passed on are left out, so that a stream which goes on at
 * another upstream repeats nothing. Not thread-safe.
 */
final class EventSplitter {

  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private long lastId = -1;
  private boolean gap;

  /** Returns the id of the last event that was passed on; -1 if there was none. */
  long lastId() {
    return lastId;
  }

  /** Returns whether an event did not follow the one before it. */
  boolean hasGap() {
    return gap;
  }

  /** Forgets the event that was cut off, and a gap, before the stream goes on elsewhere. */
  void dropPartial() {
    partial.reset();
    gap = false;
  }

  /** Returns whether an event was begun and not ended. */
  boolean hasPartial() {
    return partial.size() > 0;
  }

  /** Returns what was kept back. */
  byte[] takePartial() {
    byte[] rest = partial.toByteArray();
    partial.reset();
    return rest;
  }

  /** Takes bytes and returns the whole events that they complete. */
  ByteBuffer accept(ByteBuffer data) {
    byte[] bytes = new byte[data.remaining()];
    data.get(bytes);
    partial.writeBytes(bytes);
    byte[] all = partial.toByteArray();
    ByteArrayOutputStream whole = new ByteArrayOutputStream(all.length);
    int start = 0;
    for (int end = endOfEvent(all, start); end > 0; end = endOfEvent(all, start)) {
      if (isNew(all, start, end)) {
        whole.write(all, start, end - start);
      }
      start = end;
    }
    partial.reset();
    partial.write(all, start, all.length - start);
    return ByteBuffer.wrap(whole.toByteArray());
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

  private boolean isNew(byte[] bytes, int start, int end) {
    long id = idOf(bytes, start, end);
    if (id < 0) {
      return true;
    }
    if (id <= lastId) {
      return false;
    }
    if (lastId >= 0 && id != lastId + 1) {
      gap = true;
    }
    if (gap) {
      return false;
    }
    lastId = id;
    return true;
  }

  private static long idOf(byte[] bytes, int start, int end) {
    boolean atLineStart = true;
    for (int i = start; i + ID.length < end; i++) {
      if (atLineStart && bytes[i] == ID[0] && bytes[i + 1] == ID[1] && bytes[i + 2] == ID[2]) {
        return number(bytes, i + ID.length, end);
      }
      atLineStart = bytes[i] == '\n';
    }
    return -1;
  }

  private static long number(byte[] bytes, int from, int end) {
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
