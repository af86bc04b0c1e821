package org.toucansaddle.daemon.internal.gateway.relay;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.toucansaddle.http.ResponseFraming;

/**
 * Content of an event stream that cannot be resumed: forwarded as it arrives. Not thread-safe.
 *
 * <p>Nothing is buffered, since a truncated event ends the response as incomplete anyway.
 */
final class EventMonitor implements ResponseContent {

  private final EventScanner scanner = new EventScanner();

  @Override
  public ByteBuffer accept(ByteBuffer data) {
    ByteBuffer scanned = data.duplicate();
    while (scanned.hasRemaining()) {
      scanner.advanceToEnd(scanned);
    }
    return data;
  }

  @Override
  public Optional<String> findTruncation(ResponseFraming framing) {
    return scanner.findTruncation(framing);
  }
}
