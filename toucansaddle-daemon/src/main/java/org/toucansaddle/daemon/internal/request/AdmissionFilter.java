package org.toucansaddle.daemon.internal.request;

import java.util.OptionalDouble;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.toucansaddle.daemon.internal.logging.DecisionLog;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.daemon.internal.request.SlotHoldTimes.HoldTimeStats;
import org.toucansaddle.daemon.internal.sharing.PoolKey;
import org.toucansaddle.daemon.internal.sharing.RouterPool;

/**
 * Rejects requests that exceed the account's queue limit or are unlikely to meet the latency
 * targets of their work class.
 *
 * <p>Rejecting before the request is queued saves the caller a wait that ends in a timeout.
 * Thread-safe.
 */
public final class AdmissionFilter implements RequestFilter {

  private static final int MILLIS_PER_SECOND = 1_000;

  private final Function<PoolKey, RouterPool> pools;
  private final SlotHoldTimes holdTimes;
  private final int maxQueued;
  private final BooleanSupplier shuttingDown;
  private final LongSupplier clock;

  /**
   * Creates a filter.
   *
   * @param pools looks up this router's pool of a key
   * @param holdTimes how long requests hold a slot
   * @param maxQueued maximum number of waiting requests per account and pool
   * @param shuttingDown whether the daemon has stopped accepting requests
   * @param clock monotonic time in milliseconds
   */
  public AdmissionFilter(
      Function<PoolKey, RouterPool> pools,
      SlotHoldTimes holdTimes,
      int maxQueued,
      BooleanSupplier shuttingDown,
      LongSupplier clock) {
    this.pools = pools;
    this.holdTimes = holdTimes;
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
    int waiting = pool.waitingCount(account);
    if (waiting >= maxQueued) {
      throw Problems.queueFull(maxQueued, 1);
    }
    HoldTimeStats holdTimeStats = holdTimes.stats(request.pool(), request.workClass().getName());
    OptionalDouble meanSlots = pool.meanSlotsInUse(account);
    double startDelayMillis =
        meanSlots.isEmpty()
            ? 0
            : QueueWaitEstimator.percentile95Millis(
                waiting, meanSlots.getAsDouble(), holdTimeStats);
    long nowMillis = clock.getAsLong();
    double firstTokenLateMillis = nowMillis + startDelayMillis - request.firstTokenDeadlineMillis();
    double wholeAnswerLateMillis =
        nowMillis + startDelayMillis + holdTimeStats.meanMillis() - request.deadlineMillis();
    if (firstTokenLateMillis > 0 || wholeAnswerLateMillis > 0) {
      String missedTarget = firstTokenLateMillis > 0 ? "the first token" : "the whole answer";
      double lateMillis = firstTokenLateMillis > 0 ? firstTokenLateMillis : wholeAnswerLateMillis;
      DecisionLog.predictedLate(request, missedTarget, waiting, meanSlots, lateMillis);
      throw Problems.targetCannotBeMet(
          missedTarget, (int) Math.ceil(lateMillis / MILLIS_PER_SECOND));
    }
    chain.next(request);
  }
}
