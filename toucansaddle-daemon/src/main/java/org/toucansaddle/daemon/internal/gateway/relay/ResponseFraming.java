package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/** How an upstream marks the end of a response. */
enum ResponseFraming {
  /** No response has arrived. */
  NONE,
  /** By its length. */
  LENGTH,
  /** By the last chunk. */
  CHUNKED,
  /** By the end of the connection, which an upstream that crashes may end in the same way. */
  CONNECTION_END;

  /** Returns the framing that the header fields of a response declare. */
  static ResponseFraming of(HeaderMap headers) {
    if (headers.contains(Headers.TRANSFER_ENCODING)) {
      return CHUNKED;
    }
    return headers.contains(Headers.CONTENT_LENGTH) ? LENGTH : CONNECTION_END;
  }
}
