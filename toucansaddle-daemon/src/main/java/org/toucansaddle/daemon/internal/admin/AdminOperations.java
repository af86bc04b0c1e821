package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.daemon.internal.config.ConfigurationHolder;
import org.toucansaddle.daemon.internal.config.ConfigurationItems;
import org.toucansaddle.daemon.internal.control.ControlClient;
import org.toucansaddle.daemon.internal.control.FleetDirectory;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.daemon.internal.problem.ProblemException;
import org.toucansaddle.protocol.PeerMethods;
import org.toucansaddle.protocol.generated.ClientAccount;
import org.toucansaddle.protocol.generated.Command;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.FetchConfigurationRequest;
import org.toucansaddle.protocol.generated.WorkClass;

/** Admin operations of a daemon of a fleet. Thread-safe. */
public final class AdminOperations implements AdminService {

  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(8);
  private static final Duration REVISION_TIMEOUT = Duration.ofMillis(900);

  private final PeerIdentity self;
  private final ConfigurationHolder holder;
  private final ControlClient controlClient;
  private final FleetDirectory directory;
  private final PeerClients clients;
  private final DaemonStatus status;
  private final Runnable drain;

  /**
   * Creates the operations.
   *
   * @param drain starts a graceful shutdown of the daemon
   */
  public AdminOperations(
      PeerIdentity self,
      ConfigurationHolder holder,
      ControlClient controlClient,
      FleetDirectory directory,
      PeerClients clients,
      DaemonStatus status,
      Runnable drain) {
    this.self = self;
    this.holder = holder;
    this.controlClient = controlClient;
    this.directory = directory;
    this.clients = clients;
    this.status = status;
    this.drain = drain;
  }

  @Override
  public CompletableFuture<ObjectNode> perform(AdminRequest request) {
    return switch (request.method() + " " + request.collection()) {
      case "GET status" -> CompletableFuture.completedFuture(status.describe());
      case "GET upstreams" -> CompletableFuture.completedFuture(status.describeUpstreams());
      case "GET classes" -> CompletableFuture.completedFuture(classes());
      case "GET accounts" -> CompletableFuture.completedFuture(accounts());
      case "GET revisions" -> revisions();
      case "PUT classes" -> propose(request, putClass(request));
      case "DELETE classes" ->
          propose(request, Command.newBuilder().setDeleteClass(request.name()));
      case "PUT accounts" -> propose(request, putAccount(request));
      case "DELETE accounts" ->
          propose(request, Command.newBuilder().setDeleteAccount(request.name()));
      case "POST drain" -> {
        drain.run();
        yield CompletableFuture.completedFuture(emptyObject().put("draining", true));
      }
      default ->
          throw new ProblemException(
              AdminProblems.unknownPath(request.method() + " " + request.collection()));
    };
  }

  private static ObjectNode emptyObject() {
    return JsonNodeFactory.instance.objectNode();
  }

  private ObjectNode classes() {
    ObjectNode answer = emptyObject().put("revision", holder.current().revision());
    ArrayNode list = answer.putArray("classes");
    ConfigurationItems items = holder.current().items();
    for (WorkClass workClass : holder.current().classes()) {
      long revision = items.revisionOf(ConfigurationItems.classKey(workClass.getName()));
      list.add(AdminJson.toJson(workClass).put("revision", revision));
    }
    return answer;
  }

  private ObjectNode accounts() {
    ObjectNode answer = emptyObject().put("revision", holder.current().revision());
    ArrayNode list = answer.putArray("accounts");
    ConfigurationItems items = holder.current().items();
    for (ClientAccount account : holder.current().accounts()) {
      long revision = items.revisionOf(ConfigurationItems.accountKey(account.getName()));
      list.addObject()
          .put("name", account.getName())
          .put("number", account.getNumber())
          .put("keys", account.getKeyDigestsCount())
          .put("revision", revision);
    }
    return answer;
  }

  private static Command.Builder putClass(AdminRequest request) {
    return Command.newBuilder()
        .setPutClass(AdminJson.parseWorkClass(request.name(), request.body()));
  }

  private static Command.Builder putAccount(AdminRequest request) {
    return Command.newBuilder()
        .setPutAccount(AdminJson.parseAccount(request.name(), request.body()));
  }

  private CompletableFuture<ObjectNode> propose(AdminRequest request, Command.Builder command) {
    command.setCommandId(request.body().path("command_id").asText(UUID.randomUUID().toString()));
    command.setDecidedOnRevision(request.body().path("decided_on_revision").asLong(0));
    return controlClient
        .propose(command.build(), COMMAND_TIMEOUT)
        .exceptionally(
            failure -> {
              throw new ProblemException(AdminProblems.controlUnavailable(failure.getMessage()));
            })
        .thenApply(AdminOperations::toAnswer);
  }

  private static ObjectNode toAnswer(CommandResult result) {
    switch (result.getStatus()) {
      case ACCEPTED -> {
        return emptyObject().put("accepted", true).put("revision", result.getRevision());
      }
      case CONFLICT -> throw new ProblemException(AdminProblems.conflict(result));
      case NOT_FOUND -> throw new ProblemException(AdminProblems.notFound(result.getMessage()));
      default -> throw new ProblemException(AdminProblems.invalid(result));
    }
  }

  /**
   * Returns the revision in force at each live member, or -1 where the request failed.
   *
   * <p>Reads this member's own revision locally, because nothing detects a silent connection to
   * itself.
   */
  private CompletableFuture<ObjectNode> revisions() {
    ConcurrentHashMap<String, Long> revisions = new ConcurrentHashMap<>();
    FetchConfigurationRequest fetchRequest =
        FetchConfigurationRequest.newBuilder().setFromRevision(holder.current().revision()).build();
    List<CompletableFuture<?>> calls = new ArrayList<>();
    revisions.put(self.name(), holder.current().revision());
    for (Member member : directory.liveMembers()) {
      if (member.name().equals(self.name())) {
        continue;
      }
      calls.add(
          clients
              .call(
                  member.address(), PeerMethods.FETCH_CONFIGURATION, fetchRequest, REVISION_TIMEOUT)
              .handle(
                  (reply, failure) ->
                      revisions.put(
                          member.name(),
                          failure == null ? reply.getDelta().getToRevision() : -1L)));
    }
    return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
        .thenApply(
            ignored -> {
              ObjectNode answer = emptyObject();
              ObjectNode byMember = answer.putObject("revisions");
              revisions.forEach(byMember::put);
              return answer;
            });
  }
}
