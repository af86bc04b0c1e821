package org.toucansaddle.daemon.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.toucansaddle.protocol.generated.ProposeReply;

/**
 * Calls the leader of the control replicas, with retries until a deadline.
 *
 * <p>Only for idempotent calls, as an attempt whose reply is lost is repeated. Thread-safe.
 */
public final class LeaderRetryLoop {

  /**
   * Bounds of the random delay before a retry.
   *
   * @param minMillis minimum in milliseconds, inclusive
   * @param maxMillis maximum in milliseconds, exclusive
   */
  public record RetryDelay(int minMillis, int maxMillis) {}

  private final Supplier<List<String>> replicas;
  private final Predicate<String> isCallable;
  private final RetryDelay retryDelay;
  private final ScheduledExecutorService timers;
  private volatile String lastLeader = "";

  /**
   * Creates a loop over the control replicas.
   *
   * @param replicas supplies their names or addresses, in the form that actions accept
   * @param isCallable whether a replica that another one reported as the leader can be called
   */
  public LeaderRetryLoop(
      Supplier<List<String>> replicas,
      Predicate<String> isCallable,
      RetryDelay retryDelay,
      ScheduledExecutorService timers) {
    this.replicas = replicas;
    this.isCallable = isCallable;
    this.retryDelay = retryDelay;
    this.timers = timers;
  }

  /**
   * A reply of one control daemon.
   *
   * @param leader name or address of the leader as known to that daemon; empty if unknown
   * @param value result of the call if the status is DONE
   */
  public record Reply<T>(ProposeReply.Status status, String leader, T value) {}

  /** Makes a call; the result is empty if no leader replied within the timeout. */
  public <T> CompletableFuture<Optional<T>> call(
      Function<String, CompletableFuture<Reply<T>>> action, Duration timeout) {
    Call<T> call = new Call<>(action, System.nanoTime() + timeout.toNanos());
    call.attempt(lastLeader);
    return call.future;
  }

  private String selectReplica(String hint) {
    if (!hint.isEmpty() && isCallable.test(hint)) {
      return hint;
    }
    List<String> candidates = replicas.get();
    return candidates.isEmpty()
        ? ""
        : candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
  }

  private final class Call<T> {
    private final Function<String, CompletableFuture<Reply<T>>> action;
    private final long deadlineNanos;
    private final CompletableFuture<Optional<T>> future = new CompletableFuture<>();

    Call(Function<String, CompletableFuture<Reply<T>>> action, long deadlineNanos) {
      this.action = action;
      this.deadlineNanos = deadlineNanos;
    }

    void attempt(String hint) {
      long remainingNanos = deadlineNanos - System.nanoTime();
      String replica = selectReplica(hint);
      if (remainingNanos <= 0) {
        future.complete(Optional.empty());
      } else if (replica.isEmpty()) {
        scheduleRetry("");
      } else {
        action
            .apply(replica)
            .orTimeout(remainingNanos, TimeUnit.NANOSECONDS)
            .whenComplete((reply, failure) -> handleReply(replica, reply, failure));
      }
    }

    private void handleReply(String replica, Reply<T> reply, Throwable failure) {
      if (failure == null && reply.status() == ProposeReply.Status.DONE) {
        lastLeader = replica;
        future.complete(Optional.of(reply.value()));
        return;
      }
      lastLeader = "";
      scheduleRetry(failure == null ? reply.leader() : "");
    }

    private void scheduleRetry(String hint) {
      int delayMillis =
          ThreadLocalRandom.current().nextInt(retryDelay.minMillis(), retryDelay.maxMillis());
      timers.schedule(() -> attempt(hint), delayMillis, TimeUnit.MILLISECONDS);
    }
  }
}
