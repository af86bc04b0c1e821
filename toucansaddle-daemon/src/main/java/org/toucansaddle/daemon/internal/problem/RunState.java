package org.toucansaddle.daemon.internal.problem;

/** Whether a refused or failed request was run at an upstream. */
public enum RunState {
  /** No upstream has run it and none will. */
  NOT_RUN("not-run"),
  /** An upstream may have run it. */
  UNKNOWN("unknown"),
  /** An upstream ran it, at least in part. */
  RUN("run");

  private final String text;

  RunState(String text) {
    this.text = text;
  }

  /** Returns the value shown to callers. */
  public String text() {
    return text;
  }
}
