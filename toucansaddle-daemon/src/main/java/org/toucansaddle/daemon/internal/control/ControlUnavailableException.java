package org.toucansaddle.daemon.internal.control;

/** No control replica answered as the leader in time. Immutable. */
public final class ControlUnavailableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a stack trace. */
  public ControlUnavailableException() {
    super(
        "No leader of the control replicas answered in time, so it is not known whether the"
            + " command takes effect. Send it again with the same command id; look at"
            + " 'toucansaddle status' if that goes on.",
        null,
        false,
        false);
  }
}
