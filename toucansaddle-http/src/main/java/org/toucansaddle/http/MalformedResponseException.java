package org.toucansaddle.http;

import java.io.IOException;

/**
 * A server sent something that is no valid HTTP response (RFC 9110, RFC 9112).
 *
 * <p>The request may have run. Immutable.
 */
public final class MalformedResponseException extends IOException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception; the reason tells what was received and what was expected. */
  public MalformedResponseException(String reason) {
    super("malformed response: " + reason);
  }
}
