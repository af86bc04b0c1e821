package org.toucansaddle.daemon.internal.gateway.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events and tracks their ids.
 *
 * <p>Bytes after the last complete event are buffered, since the upstream may fail within an event.
 * Events up to the last forwarded id are dropped, so that a stream resumed at another upstream
 * contains no duplicates. Not thread-safe.
 */
final class EventSplitter implements ResponseContent {

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final EventScanner scanner = new EventScanner();
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
    scanner.reset();
    gap = false;
  }

  @Override
  public Optional<String> findTruncation(ResponseFraming framing) {
    return scanner.findTruncation(framing);
  }

  /** Removes and returns the bytes after the last event: blank lines and comments. */
  @Override
  public ByteBuffer drain() {
    byte[] remainder = partialEvent.toByteArray();
    partialEvent.reset();
    return ByteBuffer.wrap(remainder);
  }

  /** Consumes bytes and returns the events that they complete. */
  @Override
  public ByteBuffer accept(ByteBuffer data) {
    ByteArrayOutputStream complete =
        new ByteArrayOutputStream(partialEvent.size() + data.remaining());
    while (data.hasRemaining()) {
      ByteBuffer scanned = data.duplicate();
      boolean ended = scanner.advanceToEnd(scanned);
      byte[] bytes = new byte[scanned.position() - data.position()];
      data.get(bytes);
      partialEvent.writeBytes(bytes);
      if (ended) {
        byte[] event = partialEvent.toByteArray();
        partialEvent.reset();
        if (acceptEvent(event)) {
          complete.writeBytes(event);
        }
      }
    }
    return ByteBuffer.wrap(complete.toByteArray());
  }

  private boolean acceptEvent(byte[] event) {
    long id = parseEventId(event);
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

  private static long parseEventId(byte[] event) {
    boolean atLineStart = true;
    for (int i = 0; i + ID_FIELD.length < event.length; i++) {
      if (atLineStart
          && event[i] == ID_FIELD[0]
          && event[i + 1] == ID_FIELD[1]
          && event[i + 2] == ID_FIELD[2]) {
        return parseNumber(event, i + ID_FIELD.length);
      }
      atLineStart = event[i] == '\n' || event[i] == '\r';
    }
    return -1;
  }

  private static long parseNumber(byte[] event, int from) {
    int i = from;
    while (i < event.length && event[i] == ' ') {
      i++;
    }
    long value = -1;
    for (; i < event.length && event[i] >= '0' && event[i] <= '9'; i++) {
      value = Math.max(0, value) * 10 + event[i] - '0';
    }
    return value;
  }
}
