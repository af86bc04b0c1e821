package org.toucansaddle.daemon.gateway;

/** Thrown if a configuration document is invalid; the message names what to correct. */
public final class DocumentException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a stack trace. */
  public DocumentException(String message) {
    super(message, null, false, false);
  }
}
