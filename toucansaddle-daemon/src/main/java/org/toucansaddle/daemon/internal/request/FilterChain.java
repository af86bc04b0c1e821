package org.toucansaddle.daemon.internal.request;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.problem.ProblemException;
import org.toucansaddle.daemon.internal.problem.RunState;

/** The remaining filters that a request is to pass. Immutable and thread-safe. */
public final class FilterChain {

  private static final Logger LOG = LoggerFactory.getLogger(FilterChain.class);

  private final List<RequestFilter> filters;
  private final int position;
  private final ProblemWriter problemWriter;

  /**
   * Creates a chain that starts with the first filter.
   *
   * @param filters filters in the order in which requests pass them
   * @param problemWriter writes the answer of a request that a filter ends
   */
  public FilterChain(List<RequestFilter> filters, ProblemWriter problemWriter) {
    this(List.copyOf(filters), 0, problemWriter);
  }

  private FilterChain(List<RequestFilter> filters, int position, ProblemWriter problemWriter) {
    this.filters = filters;
    this.position = position;
    this.problemWriter = problemWriter;
  }

  /**
   * Passes a request to the next filter; an exception that the filter throws ends the request.
   *
   * <p>An unexpected exception may come after the request was sent upstream, so it is answered with
   * the run state {@code UNKNOWN}.
   */
  public void next(CallerRequest request) {
    FilterChain remaining = new FilterChain(filters, position + 1, problemWriter);
    try {
      filters.get(position).filter(request, remaining);
    } catch (ProblemException e) {
      fail(request, e.problem());
    } catch (RuntimeException e) {
      LOG.error(
          "request {} failed with an unexpected exception; answering with status 500",
          request.id(),
          e);
      fail(
          request,
          Problem.of(
              500,
              "internal-error",
              RunState.UNKNOWN,
              "The router failed to handle the request. Report request id "
                  + request.id()
                  + " to the operators, together with the daemon's log."));
    }
  }

  /** Ends a request with a problem, and the claim it may hold. */
  public void fail(CallerRequest request, Problem problem) {
    request.claim().ifPresent(claim -> endClaim(claim, problem));
    problemWriter.write(request, problem);
  }

  private static void endClaim(IdempotencyClaim claim, Problem problem) {
    if (problem.runState() == RunState.NOT_RUN) {
      claim.release();
    } else {
      claim.markOutcomeUnknown();
    }
  }
}
