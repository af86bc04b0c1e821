package org.toucansaddle.daemon.internal.request;

/**
 * One step in the handling of a request.
 *
 * <p>A filter passes the request on with {@link FilterChain#next}, at once or later from another
 * thread, or ends it by throwing a {@link
 * org.toucansaddle.daemon.internal.problem.ProblemException} or calling {@link FilterChain#fail}.
 * Implementations must be stateless or thread-safe.
 */
@FunctionalInterface
public interface RequestFilter {

  /**
   * Handles a request; must not block.
   *
   * @param chain the filters that follow this one
   */
  void filter(CallerRequest request, FilterChain chain);
}
