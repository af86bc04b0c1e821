package org.toucansaddle.daemon.internal.problem;

/** A request that ends with a problem. Immutable. */
public final class ProblemException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient Problem problem;

  /** Creates an exception without a stack trace, because it is an answer and no fault. */
  public ProblemException(Problem problem) {
    super(problem.detail(), null, false, false);
    this.problem = problem;
  }

  /** Returns the answer. */
  public Problem problem() {
    return problem;
  }
}
