package org.toucansaddle.http;

/** An HTTP request that received no complete response. Immutable. */
public final class HttpException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Cause of the failure. */
  public enum Kind {
    /** The connection could not be established; no byte of the request was sent. */
    CONNECT,
    /** The connection was lost after bytes of the request may have been sent. */
    BROKEN,
    /** Something that is no valid HTTP response arrived; the request may have run. */
    MALFORMED,
    /** The caller cancelled the request. */
    CANCELLED,
    /** The response did not arrive within the timeout. */
    TIMEOUT,
    /** The response exceeds the maximum size. */
    TOO_LONG
  }

  private final Kind kind;
  private final boolean mayHaveReachedServer;

  /**
   * Creates an exception without a stack trace.
   *
   * @param mayHaveReachedServer whether a byte of the request may have reached the server
   */
  public HttpException(Kind kind, boolean mayHaveReachedServer, String message, Throwable cause) {
    super(message, cause, false, false);
    this.kind = kind;
    this.mayHaveReachedServer = mayHaveReachedServer;
  }

  /** Returns the cause of the failure. */
  public Kind kind() {
    return kind;
  }

  /** Returns whether a byte of the request may have reached the server. */
  public boolean mayHaveReachedServer() {
    return mayHaveReachedServer;
  }
}
