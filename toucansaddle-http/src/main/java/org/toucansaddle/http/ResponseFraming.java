package org.toucansaddle.http;

/** How a server marks the end of a response (RFC 9112, section 6.3). */
public enum ResponseFraming {
  /** No response has arrived. */
  NONE,
  /** By its length. */
  LENGTH,
  /** By the last chunk. */
  CHUNKED,
  /** By the end of the connection, which a server that crashes may end in the same way. */
  CONNECTION_END
}
