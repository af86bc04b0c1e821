package org.toucansaddle.daemon.internal.request;

import java.util.function.LongSupplier;
import org.toucansaddle.coordination.retry.StrikeTable;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.daemon.internal.problem.RunState;

/** Refuses requests that upstreams died of. Thread-safe. */
public final class QuarantineFilter implements RequestFilter {

  private static final int MILLIS_PER_SECOND = 1_000;

  private final StrikeTable strikes;
  private final LongSupplier clock;

  /** Creates a filter; {@code clock} gives monotonic milliseconds. */
  public QuarantineFilter(StrikeTable strikes, LongSupplier clock) {
    this.strikes = strikes;
    this.clock = clock;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    long millis = strikes.refusedForMillis(request.digest(), clock.getAsLong());
    if (millis > 0) {
      int seconds = (int) (millis / MILLIS_PER_SECOND) + 1;
      throw Problems.quarantined(RunState.NOT_RUN, seconds);
    }
    chain.next(request);
  }
}
