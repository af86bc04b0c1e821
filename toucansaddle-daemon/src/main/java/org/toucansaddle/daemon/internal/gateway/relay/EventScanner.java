package org.toucansaddle.daemon.internal.gateway.relay;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.toucansaddle.http.ResponseFraming;

/**
 * Finds the ends of events in a stream of server-sent events (WHATWG HTML, section 9.2.6).
 *
 * <p>A blank line ends an event; lines end with LF, CR or CRLF. Bytes may be split anywhere. Not
 * thread-safe.
 */
final class EventScanner {

  private boolean atLineStart = true;
  private boolean afterCarriageReturn;
  private boolean inBlock;
  private boolean inEvent;
  private boolean hasEvents;

  /**
   * Advances the position of a buffer beyond the next blank line that ends an event or a block of
   * comments, or to its limit.
   *
   * @return whether there was such a line
   */
  boolean advanceToEnd(ByteBuffer data) {
    while (data.hasRemaining()) {
      if (acceptByte(data.get())) {
        includeLineFeed(data);
        return true;
      }
    }
    return false;
  }

  private boolean acceptByte(byte next) {
    boolean secondOfPair = afterCarriageReturn && next == '\n';
    afterCarriageReturn = next == '\r';
    if (secondOfPair) {
      return false;
    }
    if (next == '\n' || next == '\r') {
      return endLine();
    }
    if (atLineStart) {
      atLineStart = false;
      inBlock = true;
      inEvent |= next != ':';
    }
    return false;
  }

  private boolean endLine() {
    boolean blank = atLineStart;
    atLineStart = true;
    if (!blank || !inBlock) {
      return false;
    }
    hasEvents |= inEvent;
    reset();
    return true;
  }

  private void includeLineFeed(ByteBuffer data) {
    if (afterCarriageReturn && data.hasRemaining() && data.get(data.position()) == '\n') {
      data.get();
      afterCarriageReturn = false;
    }
  }

  /** Forgets a truncated event, before another upstream continues the stream. */
  void reset() {
    atLineStart = true;
    inBlock = false;
    inEvent = false;
  }

  /** Returns why a stream that ends here is incomplete; empty if it may be complete. */
  Optional<String> findTruncation(ResponseFraming framing) {
    if (inEvent) {
      return Optional.of("the stream ended within an event");
    }
    if (!hasEvents && framing == ResponseFraming.CONNECTION_END) {
      return Optional.of("the connection ended before the first event");
    }
    return Optional.empty();
  }
}
