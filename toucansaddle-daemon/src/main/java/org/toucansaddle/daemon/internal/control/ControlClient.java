package org.toucansaddle.daemon.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.PeerMethods;
import org.toucansaddle.protocol.generated.Command;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.FetchConfigurationReply;
import org.toucansaddle.protocol.generated.FetchConfigurationRequest;
import org.toucansaddle.protocol.generated.ProposeReply;
import org.toucansaddle.protocol.generated.ProposeRequest;

/**
 * Finds the leader of the control replicas and makes calls there, trying again until a deadline.
 *
 * <p>A command is sent again with the same command id, so it takes effect at most once.
 * Thread-safe.
 */
public final class ControlClient {

  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1_500);
  private static final int MIN_BACKOFF_MILLIS = 30;
  private static final int MAX_BACKOFF_MILLIS = 250;

  /** An answer of one control replica. */
  private record Answer<T>(ProposeReply.Status status, String leader, T value) {}

  private final String selfName;
  private final LeaderCalls local;
  private final FleetDirectory directory;
  private final PeerClients clients;
  private final ScheduledExecutorService timers;
  private volatile String lastLeader = "";

  /** Creates a client. */
  public ControlClient(
      String selfName,
      LeaderCalls local,
      FleetDirectory directory,
      PeerClients clients,
      ScheduledExecutorService timers) {
    this.selfName = selfName;
    this.local = local;
    this.directory = directory;
    this.clients = clients;
    this.timers = timers;
  }

  /**
   * Proposes a command.
   *
   * @return its result, or a {@link ControlUnavailableException}
   */
  public CompletableFuture<CommandResult> propose(Command command, Duration timeout) {
    ProposeRequest request = ProposeRequest.newBuilder().setCommand(command).build();
    Call<CommandResult> call =
        new Call<>(
            name ->
                proposeAt(name, request)
                    .thenApply(r -> new Answer<>(r.getStatus(), r.getLeader(), r.getResult())),
            timeout);
    call.attempt();
    return call.future;
  }

  /**
   * Fetches configuration changes confirmed by a quorum.
   *
   * @return the reply, or a {@link ControlUnavailableException}
   */
  public CompletableFuture<FetchConfigurationReply> fetchConfirmed(
      long fromRevision, Duration timeout) {
    FetchConfigurationRequest request =
        FetchConfigurationRequest.newBuilder()
            .setFromRevision(fromRevision)
            .setConfirmed(true)
            .build();
    Call<FetchConfigurationReply> call =
        new Call<>(
            name ->
                fetchAt(name, request)
                    .thenApply(r -> new Answer<>(r.getStatus(), r.getLeader(), r)),
            timeout);
    call.attempt();
    return call.future;
  }

  private CompletableFuture<ProposeReply> proposeAt(String name, ProposeRequest request) {
    if (name.equals(selfName)) {
      return local.propose(request);
    }
    return clients.call(addressOf(name), PeerMethods.PROPOSE, request, ATTEMPT_TIMEOUT);
  }

  private CompletableFuture<FetchConfigurationReply> fetchAt(
      String name, FetchConfigurationRequest request) {
    if (name.equals(selfName)) {
      return local.fetch(request);
    }
    return clients.call(addressOf(name), PeerMethods.FETCH_CONFIGURATION, request, ATTEMPT_TIMEOUT);
  }

  private String addressOf(String name) {
    return directory.address(name).orElseThrow();
  }

  private Optional<String> nextReplica(String hint) {
    if (!hint.isEmpty() && directory.address(hint).isPresent()) {
      return Optional.of(hint);
    }
    List<String> names = new ArrayList<>();
    for (Member member : directory.live()) {
      if (member.control()) {
        names.add(member.name());
      }
    }
    if (names.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(names.get(ThreadLocalRandom.current().nextInt(names.size())));
  }

  /** One call with its retries. */
  private final class Call<T> {
    private final Function<String, CompletableFuture<Answer<T>>> action;
    private final long deadline;
    private final CompletableFuture<T> future = new CompletableFuture<>();
    private volatile String hint = lastLeader;

    Call(Function<String, CompletableFuture<Answer<T>>> action, Duration timeout) {
      this.action = action;
      this.deadline = System.nanoTime() + timeout.toNanos();
    }

    void attempt() {
      Optional<String> name = nextReplica(hint);
      hint = "";
      if (name.isEmpty()) {
        again();
        return;
      }
      action
          .apply(name.get())
          .whenComplete((answer, failure) -> answered(name.get(), answer, failure));
    }

    private void answered(String name, Answer<T> answer, Throwable failure) {
      if (failure == null && answer.status() == ProposeReply.Status.DONE) {
        lastLeader = name;
        future.complete(answer.value());
        return;
      }
      lastLeader = "";
      if (failure == null) {
        hint = answer.leader();
      }
      again();
    }

    private void again() {
      if (System.nanoTime() >= deadline) {
        future.completeExceptionally(new ControlUnavailableException());
        return;
      }
      int pause = ThreadLocalRandom.current().nextInt(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
      timers.schedule(this::attempt, pause, TimeUnit.MILLISECONDS);
    }
  }
}
