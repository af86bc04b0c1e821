package org.toucansaddle.daemon.internal.request;

import java.util.function.LongSupplier;
import org.toucansaddle.coordination.retry.StrikeTable;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.daemon.internal.problem.RunState;

/**
 * Rejects requests in quarantine: those that were running too often when an upstream died.
 *
 * <p>Requests are recognized by the digest of their content. Thread-safe.
 */
public final class QuarantineFilter implements RequestFilter {

  private static final int MILLIS_PER_SECOND = 1_000;

  private final StrikeTable strikes;
  private final LongSupplier clock;

  /** Creates a filter; {@code clock} returns monotonic time in milliseconds. */
  public QuarantineFilter(StrikeTable strikes, LongSupplier clock) {
    this.strikes = strikes;
    this.clock = clock;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    long remainingMillis = strikes.refusedForMillis(request.digest(), clock.getAsLong());
    if (remainingMillis > 0) {
      int retryAfterSeconds = (int) (remainingMillis / MILLIS_PER_SECOND) + 1;
      throw Problems.quarantined(RunState.NOT_RUN, retryAfterSeconds);
    }
    chain.next(request);
  }
}
