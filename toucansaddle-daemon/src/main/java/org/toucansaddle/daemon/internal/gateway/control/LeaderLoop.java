package org.toucansaddle.daemon.internal.gateway.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.toucansaddle.protocol.generated.ProposeReply;

/**
 * Makes a call at the leader of the control replicas, trying again until a deadline.
 *
 * <p>Only for calls that may be made twice. Thread-safe.
 */
final class LeaderLoop {

  private static final int MIN_PAUSE_MILLIS = 20;
  private static final int MAX_PAUSE_MILLIS = 120;

  private final Supplier<List<String>> addresses;
  private final ScheduledExecutorService timers;
  private volatile String lastLeader = "";

  /** Creates a loop over the control daemons' addresses. */
  LeaderLoop(Supplier<List<String>> addresses, ScheduledExecutorService timers) {
    this.addresses = addresses;
    this.timers = timers;
  }

  /** An answer of one control daemon. */
  record Answer<T>(ProposeReply.Status status, String leader, T value) {}

  /** Makes a call; the future holds nothing if no leader answered in time. */
  <T> CompletableFuture<Optional<T>> call(
      Function<String, CompletableFuture<Answer<T>>> action, Duration timeout) {
    Call<T> call = new Call<>(action, System.nanoTime() + timeout.toNanos());
    call.attempt(lastLeader);
    return call.future;
  }

  private String next(String hint) {
    List<String> all = addresses.get();
    if (!hint.isEmpty() || all.isEmpty()) {
      return hint;
    }
    return all.get(ThreadLocalRandom.current().nextInt(all.size()));
  }

  private final class Call<T> {
    private final Function<String, CompletableFuture<Answer<T>>> action;
    private final long deadline;
    private final CompletableFuture<Optional<T>> future = new CompletableFuture<>();

    Call(Function<String, CompletableFuture<Answer<T>>> action, long deadline) {
      this.action = action;
      this.deadline = deadline;
    }

    void attempt(String hint) {
      long left = deadline - System.nanoTime();
      String address = next(hint);
      if (left <= 0) {
        future.complete(Optional.empty());
      } else if (address.isEmpty()) {
        again("");
      } else {
        action
            .apply(address)
            .orTimeout(left, TimeUnit.NANOSECONDS)
            .whenComplete((answer, failure) -> answered(address, answer, failure));
      }
    }

    private void answered(String address, Answer<T> answer, Throwable failure) {
      if (failure == null && answer.status() == ProposeReply.Status.DONE) {
        lastLeader = address;
        future.complete(Optional.of(answer.value()));
        return;
      }
      lastLeader = "";
      again(failure == null ? answer.leader() : "");
    }

    private void again(String hint) {
      int pause = ThreadLocalRandom.current().nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
      timers.schedule(() -> attempt(hint), pause, TimeUnit.MILLISECONDS);
    }
  }
}
