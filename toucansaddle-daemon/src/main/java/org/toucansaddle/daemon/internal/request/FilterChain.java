package org.toucansaddle.daemon.internal.request;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.problem.ProblemException;
import org.toucansaddle.daemon.internal.problem.RunState;

/** The filters that a request has yet to pass. Immutable and thread-safe. */
public final class FilterChain {

  private static final Logger LOG = LoggerFactory.getLogger(FilterChain.class);

  private final List<RequestFilter> filters;
  private final int position;
  private final ProblemWriter problems;

  /** Creates a chain that starts with the first filter. */
  public FilterChain(List<RequestFilter> filters, ProblemWriter problems) {
    this(List.copyOf(filters), 0, problems);
  }

  private FilterChain(List<RequestFilter> filters, int position, ProblemWriter problems) {
    this.filters = filters;
    this.position = position;
    this.problems = problems;
  }

  /** Passes a request to the next filter. */
  public void next(CallerRequest request) {
    FilterChain rest = new FilterChain(filters, position + 1, problems);
    try {
      filters.get(position).filter(request, rest);
    } catch (ProblemException e) {
      fail(request, e.problem());
    } catch (RuntimeException e) {
      LOG.error("request {} failed inside the router", request.id(), e);
      fail(
          request,
          Problem.of(
              500,
              "internal-error",
              RunState.UNKNOWN,
              "The router failed while it handled the request. Report request id "
                  + request.id()
                  + " with the daemon's log."));
    }
  }

  /** Ends a request with a problem. */
  public void fail(CallerRequest request, Problem problem) {
    request.claim().ifPresent(claim -> giveUp(claim, problem));
    problems.write(request, problem);
  }

  private static void giveUp(ClaimedCall claim, Problem problem) {
    if (problem.runState() == RunState.NOT_RUN) {
      claim.release();
    } else {
      claim.lost();
    }
  }
}
