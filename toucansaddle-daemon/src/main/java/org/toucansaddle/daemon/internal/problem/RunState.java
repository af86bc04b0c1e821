package org.toucansaddle.daemon.internal.problem;

/** Whether an upstream ran a request that was refused or failed. */
public enum RunState {
  /** No upstream has run the request and none will. */
  NOT_RUN("not-run"),
  /** An upstream may have run the request. */
  UNKNOWN("unknown"),
  /** An upstream ran the request, at least in part. */
  RUN("run");

  private final String text;

  RunState(String text) {
    this.text = text;
  }

  /** Returns the value that responses and logs carry. */
  public String text() {
    return text;
  }
}
