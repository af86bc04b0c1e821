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
 * Makes a call at the leader of the control replicas, trying again until a deadline.
 *
 * <p>Only for calls that may be made twice. Thread-safe.
 */
public final class LeaderRetryLoop {

  /** Least and longest pause before another try, in milliseconds. */
  public record RetryDelay(int minMillis, int maxMillis) {}

  private final Supplier<List<String>> replicas;
  private final Predicate<String> isCallable;
  private final RetryDelay retryDelay;
  private final ScheduledExecutorService timers;
  private volatile String lastLeader = "";

  /**
   * Creates a loop over the control replicas.
   *
   * @param replicas their names or addresses, in the form that actions take
   * @param isKnown whether a call can be made at a replica that another one named as leader
   */
  public LeaderRetryLoop(
      Supplier<List<String>> replicas,
      Predicate<String> isKnown,
      RetryDelay pause,
      ScheduledExecutorService timers) {
    this.replicas = replicas;
    this.isCallable = isKnown;
    this.retryDelay = pause;
    this.timers = timers;
  }

  /** An answer of one control daemon. */
  public record Reply<T>(ProposeReply.Status status, String leader, T value) {}

  /** Makes a call; the future holds nothing if no leader answered in time. */
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
    List<String> all = replicas.get();
    return all.isEmpty() ? "" : all.get(ThreadLocalRandom.current().nextInt(all.size()));
  }

  private final class Call<T> {
    private final Function<String, CompletableFuture<Reply<T>>> action;
    private final long deadlineNanos;
    private final CompletableFuture<Optional<T>> future = new CompletableFuture<>();

    Call(Function<String, CompletableFuture<Reply<T>>> action, long deadline) {
      this.action = action;
      this.deadlineNanos = deadline;
    }

    void attempt(String hint) {
      long left = deadlineNanos - System.nanoTime();
      String replica = selectReplica(hint);
      if (left <= 0) {
        future.complete(Optional.empty());
      } else if (replica.isEmpty()) {
        scheduleRetry("");
      } else {
        action
            .apply(replica)
            .orTimeout(left, TimeUnit.NANOSECONDS)
            .whenComplete((answer, failure) -> handleReply(replica, answer, failure));
      }
    }

    private void handleReply(String replica, Reply<T> answer, Throwable failure) {
      if (failure == null && answer.status() == ProposeReply.Status.DONE) {
        lastLeader = replica;
        future.complete(Optional.of(answer.value()));
        return;
      }
      lastLeader = "";
      scheduleRetry(failure == null ? answer.leader() : "");
    }

    private void scheduleRetry(String hint) {
      int millis =
          ThreadLocalRandom.current().nextInt(retryDelay.minMillis(), retryDelay.maxMillis());
      timers.schedule(() -> attempt(hint), millis, TimeUnit.MILLISECONDS);
    }
  }
}
