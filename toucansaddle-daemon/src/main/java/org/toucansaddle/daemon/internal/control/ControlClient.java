package org.toucansaddle.daemon.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.daemon.internal.control.LeaderRetryLoop.Reply;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.protocol.PeerMethods;
import org.toucansaddle.protocol.generated.Command;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.FetchConfigurationReply;
import org.toucansaddle.protocol.generated.FetchConfigurationRequest;
import org.toucansaddle.protocol.generated.ProposeReply;
import org.toucansaddle.protocol.generated.ProposeRequest;

/**
 * Finds the leader of the control replicas and calls it, with retries until a deadline.
 *
 * <p>A command is resent with the same command id, so it takes effect at most once. Thread-safe.
 */
public final class ControlClient {

  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1_500);
  private static final LeaderRetryLoop.RetryDelay RETRY_DELAY =
      new LeaderRetryLoop.RetryDelay(30, 250);

  private final String selfName;
  private final LeaderRequestHandler localHandler;
  private final FleetDirectory directory;
  private final PeerClients clients;
  private final LeaderRetryLoop retryLoop;

  /** Creates a client that uses the local handler if this daemon is the selected replica. */
  public ControlClient(
      String selfName,
      LeaderRequestHandler localHandler,
      FleetDirectory directory,
      PeerClients clients,
      ScheduledExecutorService timers) {
    this.selfName = selfName;
    this.localHandler = localHandler;
    this.directory = directory;
    this.clients = clients;
    this.retryLoop =
        new LeaderRetryLoop(
            this::liveReplicaNames,
            name -> directory.findAddress(name).isPresent(),
            RETRY_DELAY,
            timers);
  }

  /**
   * Proposes a command.
   *
   * @return its result; fails with {@link ControlUnavailableException} if no leader replied within
   *     the timeout
   */
  public CompletableFuture<CommandResult> propose(Command command, Duration timeout) {
    ProposeRequest request = ProposeRequest.newBuilder().setCommand(command).build();
    return failIfUnavailable(
        retryLoop.call(
            name ->
                proposeAt(name, request)
                    .thenApply(
                        reply ->
                            new Reply<>(reply.getStatus(), reply.getLeader(), reply.getResult())),
            timeout));
  }

  /**
   * Fetches configuration changes confirmed by a quorum.
   *
   * @return the reply; fails with {@link ControlUnavailableException} if no leader replied within
   *     the timeout
   */
  public CompletableFuture<FetchConfigurationReply> fetchConfirmed(
      long fromRevision, Duration timeout) {
    FetchConfigurationRequest request =
        FetchConfigurationRequest.newBuilder()
            .setFromRevision(fromRevision)
            .setConfirmed(true)
            .build();
    return failIfUnavailable(
        retryLoop.call(
            name ->
                fetchAt(name, request)
                    .thenApply(reply -> new Reply<>(reply.getStatus(), reply.getLeader(), reply)),
            timeout));
  }

  private static <T> CompletableFuture<T> failIfUnavailable(CompletableFuture<Optional<T>> result) {
    return result.thenApply(value -> value.orElseThrow(ControlUnavailableException::new));
  }

  private CompletableFuture<ProposeReply> proposeAt(String name, ProposeRequest request) {
    if (name.equals(selfName)) {
      return localHandler.propose(request);
    }
    return clients.call(addressOf(name), PeerMethods.PROPOSE, request, ATTEMPT_TIMEOUT);
  }

  private CompletableFuture<FetchConfigurationReply> fetchAt(
      String name, FetchConfigurationRequest request) {
    if (name.equals(selfName)) {
      return localHandler.fetch(request);
    }
    return clients.call(addressOf(name), PeerMethods.FETCH_CONFIGURATION, request, ATTEMPT_TIMEOUT);
  }

  private String addressOf(String name) {
    return directory.findAddress(name).orElseThrow();
  }

  private List<String> liveReplicaNames() {
    return directory.liveMembers().stream().filter(Member::control).map(Member::name).toList();
  }
}
