package org.toucansaddle.daemon.gateway;

/** A configuration document that must not take effect; the message names what to change. */
public final class DocumentException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public DocumentException(String message) {
    super(message, null, false, false);
  }
}
