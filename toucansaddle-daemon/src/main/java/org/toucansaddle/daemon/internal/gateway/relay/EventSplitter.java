package org.toucansaddle.daemon.internal.gateway.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.toucansaddle.http.ResponseFraming;

/**
 * Splits a stream of server-sent events into complete events and tracks their ids.
 *
 * <p>Bytes after the last complete event are buffered, since the upstream may fail within an event.
 * Events up to the last forwarded id are dropped, so that a stream resumed at another upstream
 * contains no duplicates. What another upstream sends continues the stream once it has sent the
 * event with the next id; comments before that are dropped, and events without an id are a fault.
 * Not thread-safe.
 */
final class EventSplitter implements ResponseContent {

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  /** Maximum size of an event; what an upstream sends without end must not fill the memory. */
  static final int MAX_EVENT_BYTES = 128 * 1024;

  /** Why a stream cannot be continued with what the upstream sends. */
  enum Fault {
    GAP("gap", "an event is missing"),
    NOT_CONTINUED("not-continued", "the next upstream sent something else than the next event"),
    TOO_LONG("event-too-long", "an event is longer than " + MAX_EVENT_BYTES + " bytes");

    private final String outcome;
    private final String cause;

    Fault(String outcome, String cause) {
      this.outcome = outcome;
      this.cause = cause;
    }

    /** Returns the outcome of the attempt, for logs and metrics. */
    String outcome() {
      return outcome;
    }

    /** Returns what happened, for people. */
    String cause() {
      return cause;
    }
  }

  private final EventScanner scanner = new EventScanner();
  private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();
  private long lastEventId = -1;
  private boolean hasEventWithoutId;
  private boolean awaitsNextEvent;
  private Optional<Fault> fault = Optional.empty();

  /** Returns the id of the last forwarded event; -1 if there was none. */
  long lastEventId() {
    return lastEventId;
  }

  /** Returns whether another upstream can continue the stream: all events so far have ids. */
  boolean isResumable() {
    return !hasEventWithoutId;
  }

  /** Returns why the stream cannot be continued; the events before that were returned. */
  Optional<Fault> fault() {
    return fault;
  }

  /** Discards a truncated event and a fault before another upstream resumes the stream. */
  void prepareResume() {
    partialEvent.reset();
    scanner.reset();
    fault = Optional.empty();
    awaitsNextEvent = lastEventId >= 0;
  }

  @Override
  public Optional<String> findTruncation(ResponseFraming framing) {
    if (awaitsNextEvent) {
      return Optional.of("the next upstream ended the stream without another event");
    }
    return scanner.findTruncation(framing);
  }

  @Override
  public int heldBytes() {
    return partialEvent.size();
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
    while (data.hasRemaining() && fault.isEmpty()) {
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
      } else if (partialEvent.size() > MAX_EVENT_BYTES) {
        partialEvent.reset();
        fault = Optional.of(Fault.TOO_LONG);
      }
    }
    return ByteBuffer.wrap(complete.toByteArray());
  }

  private boolean acceptEvent(byte[] event) {
    long id = parseEventId(event);
    if (id < 0) {
      return acceptWithoutId(event);
    }
    if (id <= lastEventId) {
      return false;
    }
    if (lastEventId >= 0 && id != lastEventId + 1) {
      fault = Optional.of(Fault.GAP);
      return false;
    }
    lastEventId = id;
    awaitsNextEvent = false;
    return true;
  }

  private boolean acceptWithoutId(byte[] event) {
    if (isComment(event)) {
      return !awaitsNextEvent;
    }
    if (awaitsNextEvent) {
      fault = Optional.of(Fault.NOT_CONTINUED);
      return false;
    }
    hasEventWithoutId = true;
    return true;
  }

  private static boolean isComment(byte[] event) {
    return new String(event, StandardCharsets.UTF_8)
        .lines()
        .allMatch(line -> line.isEmpty() || line.startsWith(":"));
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
