package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.relay.EventSplitter.Fault;
import org.toucansaddle.http.ResponseFraming;

/**
 * Relays one response to the caller of a request, from one upstream or, for resumable streams, from
 * several in turn.
 *
 * <p>Knows how the response is framed and which events of a stream were sent. Confined to the
 * caller's I/O thread.
 */
final class ResponseRelay {

  private final RelayContext context;
  private final Route route;
  private final CallerResponse response;
  private ResponseFraming framing = ResponseFraming.NONE;
  private ResponseContent content = ResponseContent.OPAQUE;

  /** The content if it is a stream that may be resumed, otherwise null. */
  private EventSplitter eventSplitter;

  ResponseRelay(
      RelayContext context,
      HttpServerExchange exchange,
      CallRequest request,
      Runnable onWritable,
      Runnable onDisconnect) {
    this.context = context;
    this.route = request.route();
    this.response = new CallerResponse(context, exchange, request, onWritable, onDisconnect);
  }

  /** Returns the framing of the last response of an upstream. */
  ResponseFraming framing() {
    return framing;
  }

  /** Records how the current upstream frames its response. */
  void setFraming(ResponseFraming current) {
    framing = current;
  }

  /** Starts the response with the head that an upstream sent. */
  void start(int status, HeaderMap headers) {
    if (isEventStream(status, headers)) {
      eventSplitter = route.resumable() ? new EventSplitter() : null;
      content = eventSplitter == null ? new EventMonitor() : eventSplitter;
    }
    // A stream may turn out to be truncated after as many bytes as the upstream announced.
    boolean keepsLength = framing == ResponseFraming.LENGTH && content == ResponseContent.OPAQUE;
    String length = keepsLength ? headers.getFirst(Headers.CONTENT_LENGTH) : "";
    response.start(context, status, headers, length);
  }

  private boolean isEventStream(int status, HeaderMap headers) {
    return route.isStream()
        && CallAttempt.isSuccess(status)
        && response.mayHaveBody(status)
        && HeaderCodec.mayBeEventStream(headers);
  }

  /** Returns whether another upstream may resume the response. */
  boolean isResumable() {
    return eventSplitter != null && eventSplitter.isResumable();
  }

  /** Returns the id of the last event sent to the caller; -1 if there was none. */
  long lastEventId() {
    return eventSplitter == null ? -1 : eventSplitter.lastEventId();
  }

  /** Discards what another upstream would send again. */
  void prepareResume() {
    if (eventSplitter != null) {
      eventSplitter.prepareResume();
      response.holdUnfinished(content.heldBytes());
    }
  }

  /** Returns whether the caller may have received part of the response. */
  boolean isHeadSent() {
    return response.isHeadSent();
  }

  /** Withdraws the head if the caller has received nothing of it; returns whether it did. */
  boolean withdrawUnsentHead() {
    if (response.isHeadSent()) {
      return false;
    }
    content = ResponseContent.OPAQUE;
    eventSplitter = null;
    response.holdUnfinished(0);
    response.discardHead();
    return true;
  }

  /** Relays content; returns whether the caller can accept more. */
  boolean write(ByteBuffer data) {
    ByteBuffer out = content.accept(data);
    response.holdUnfinished(content.heldBytes());
    return !out.hasRemaining() || response.write(out);
  }

  /** Returns why the stream cannot be continued with what the upstream sends. */
  Optional<Fault> fault() {
    return eventSplitter == null ? Optional.empty() : eventSplitter.fault();
  }

  /** Returns how many bytes to read at once from the upstream, instead of the usual number. */
  int readBytes(int usual) {
    return response.readBytes(usual);
  }

  void flush() {
    response.flush();
  }

  /** Returns why a response that ends here is incomplete; empty if it may be complete. */
  Optional<String> findTruncation() {
    return content.findTruncation(framing);
  }

  /** Writes what is left of the content. */
  void drain() {
    ByteBuffer rest = content.drain();
    response.holdUnfinished(content.heldBytes());
    response.write(rest);
  }

  /** Completes the response. */
  void end() {
    response.end();
  }

  /** Ends the response so that the caller sees that it is incomplete. */
  void abort() {
    response.abort();
  }
}
