package org.toucansaddle.daemon.internal.request;

import java.util.OptionalDouble;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.toucansaddle.daemon.internal.logging.DecisionLog;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.daemon.internal.request.HoldingTimes.Holding;
import org.toucansaddle.daemon.internal.sharing.PoolKey;
import org.toucansaddle.daemon.internal.sharing.RouterPool;

/**
 * Refuses at once what does not fit the account's queue or cannot meet its class's target any more.
 *
 * <p>Thread-safe.
 */
public final class AdmitFilter implements RequestFilter {

  private static final int MILLIS_PER_SECOND = 1_000;

  private final Function<PoolKey, RouterPool> pools;
  private final HoldingTimes holdingTimes;
  private final int maxQueued;
  private final BooleanSupplier shuttingDown;
  private final LongSupplier clock;

  /**
   * Creates a filter.
   *
   * @param holdingTimes how long requests hold a slot
   * @param maxQueued most waiting requests of an account in a pool
   * @param shuttingDown whether the daemon takes no new work
   * @param clock monotonic milliseconds
   */
  public AdmitFilter(
      Function<PoolKey, RouterPool> pools,
      HoldingTimes holdingTimes,
      int maxQueued,
      BooleanSupplier shuttingDown,
      LongSupplier clock) {
    this.pools = pools;
    this.holdingTimes = holdingTimes;
    this.maxQueued = maxQueued;
    this.shuttingDown = shuttingDown;
    this.clock = clock;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    if (shuttingDown.getAsBoolean()) {
      throw Problems.shuttingDown();
    }
    RouterPool pool = pools.apply(request.pool());
    int account = request.account().getNumber();
    int waiting = pool.waiting(account);
    if (waiting >= maxQueued) {
      throw Problems.queueFull(maxQueued, 1);
    }
    Holding holding = holdingTimes.of(request.pool(), request.workClass().getName());
    OptionalDouble slots = pool.slotsInUse(account);
    double start = slots.isEmpty() ? 0 : ExpectedWait.millis(waiting, slots.getAsDouble(), holding);
    long now = clock.getAsLong();
    double toFirst = now + start - request.firstTokenDeadlineMillis();
    double toWhole = now + start + holding.meanMillis() - request.deadlineMillis();
    if (toFirst > 0 || toWhole > 0) {
      String what = toFirst > 0 ? "the first token" : "the whole answer";
      double late = toFirst > 0 ? toFirst : toWhole;
      DecisionLog.predictedLate(request, what, waiting, slots, late);
      throw Problems.tooLate(what, (int) Math.ceil(late / MILLIS_PER_SECOND));
    }
    chain.next(request);
  }
}
