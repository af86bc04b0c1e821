package org.toucansaddle.daemon.internal.problem;

/** Ends a request with a {@link Problem} as its response. Immutable. */
public final class ProblemException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient Problem problem;

  /** Creates an exception without a stack trace, because it is an expected response. */
  public ProblemException(Problem problem) {
    super(problem.detail(), null, false, false);
    this.problem = problem;
  }

  public Problem problem() {
    return problem;
  }
}
