package org.toucansaddle.http;

/** An HTTP request that got no whole answer. Immutable. */
public final class HttpException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What went wrong. */
  public enum Kind {
    /** No connection was made; no byte of the request was written. */
    CONNECT,
    /** The connection broke after bytes of the request may have been written. */
    BROKEN,
    /** The caller cancelled the request. */
    CANCELLED,
    /** The answer did not arrive in time. */
    TIMEOUT,
    /** The answer is longer than the caller accepts. */
    TOO_LONG
  }

  private final Kind kind;
  private final boolean written;

  /**
   * Creates a failure.
   *
   * @param written whether a byte of the request may have reached the server
   */
  public HttpException(Kind kind, boolean written, String message, Throwable cause) {
    super(message, cause, false, false);
    this.kind = kind;
    this.written = written;
  }

  /** Returns what went wrong. */
  public Kind kind() {
    return kind;
  }

  /** Returns whether a byte of the request may have reached the server. */
  public boolean mayHaveReachedServer() {
    return written;
  }
}
