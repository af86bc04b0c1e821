package org.toucansaddle.daemon.internal.request;

/**
 * One step of a request's way.
 *
 * <p>A filter passes the request on with {@link FilterChain#next}, at once or later from another
 * thread, or ends it by throwing a {@link
 * org.toucansaddle.daemon.internal.problem.ProblemException} or calling {@link FilterChain#fail}.
 * Stateless or thread-safe.
 */
@FunctionalInterface
public interface RequestFilter {

  /** Handles a request. */
  void filter(CallerRequest request, FilterChain chain);
}
