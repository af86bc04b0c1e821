package org.toucansaddle.daemon.internal.control;

/** Thrown when no control replica replied as the leader before the deadline. Immutable. */
public final class ControlUnavailableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a stack trace. */
  public ControlUnavailableException() {
    super(
        "No leader of the control replicas replied in time, so it is unknown whether the"
            + " command takes effect. Resend it with the same command id; check"
            + " 'toucansaddle status' if the problem persists.",
        null,
        false,
        false);
  }
}
