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

/** What operators can ask of a daemon. Thread-safe. */
public final class AdminOperations implements AdminCalls {

  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(8);
  private static final Duration REVISION_TIMEOUT = Duration.ofMillis(900);

  private final PeerIdentity self;
  private final ConfigurationHolder holder;
  private final ControlClient control;
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
      ControlClient control,
      FleetDirectory directory,
      PeerClients clients,
      DaemonStatus status,
      Runnable drain) {
    this.self = self;
    this.holder = holder;
    this.control = control;
    this.directory = directory;
    this.clients = clients;
    this.status = status;
    this.drain = drain;
  }

  @Override
  public CompletableFuture<ObjectNode> perform(AdminCall call) {
    return switch (call.method() + " " + call.collection()) {
      case "GET status" -> CompletableFuture.completedFuture(status.describe());
      case "GET upstreams" -> CompletableFuture.completedFuture(status.upstreams());
      case "GET classes" -> CompletableFuture.completedFuture(classes());
      case "GET accounts" -> CompletableFuture.completedFuture(accounts());
      case "GET revisions" -> revisions();
      case "PUT classes" -> propose(call, putClass(call));
      case "DELETE classes" -> propose(call, Command.newBuilder().setDeleteClass(call.name()));
      case "PUT accounts" -> propose(call, putAccount(call));
      case "DELETE accounts" -> propose(call, Command.newBuilder().setDeleteAccount(call.name()));
      case "POST drain" -> {
        drain.run();
        yield CompletableFuture.completedFuture(object().put("draining", true));
      }
      default ->
          throw new ProblemException(
              AdminProblems.unknownPath(call.method() + " " + call.collection()));
    };
  }

  private static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  private ObjectNode classes() {
    ObjectNode answer = object().put("revision", holder.current().revision());
    ArrayNode list = answer.putArray("classes");
    ConfigurationItems items = holder.current().items();
    for (WorkClass workClass : holder.current().classes()) {
      long revision = items.revisionOf(ConfigurationItems.classKey(workClass.getName()));
      list.add(AdminJson.describe(workClass).put("revision", revision));
    }
    return answer;
  }

  private ObjectNode accounts() {
    ObjectNode answer = object().put("revision", holder.current().revision());
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

  private static Command.Builder putClass(AdminCall call) {
    return Command.newBuilder().setPutClass(AdminJson.workClass(call.name(), call.body()));
  }

  private static Command.Builder putAccount(AdminCall call) {
    return Command.newBuilder().setPutAccount(AdminJson.account(call.name(), call.body()));
  }

  private CompletableFuture<ObjectNode> propose(AdminCall call, Command.Builder command) {
    command.setCommandId(call.body().path("command_id").asText(UUID.randomUUID().toString()));
    command.setDecidedOnRevision(call.body().path("decided_on_revision").asLong(0));
    return control
        .propose(command.build(), COMMAND_TIMEOUT)
        .exceptionally(
            failure -> {
              throw new ProblemException(AdminProblems.unavailable(failure.getMessage()));
            })
        .thenApply(AdminOperations::accepted);
  }

  private static ObjectNode accepted(CommandResult result) {
    switch (result.getStatus()) {
      case ACCEPTED -> {
        return object().put("accepted", true).put("revision", result.getRevision());
      }
      case CONFLICT -> throw new ProblemException(AdminProblems.conflict(result));
      case NOT_FOUND -> throw new ProblemException(AdminProblems.notFound(result.getMessage()));
      default -> throw new ProblemException(AdminProblems.invalid(result));
    }
  }

  /**
   * Asks every other live member which revision it has in force.
   *
   * <p>Not this one: nothing would notice that a connection to itself went silent.
   */
  private CompletableFuture<ObjectNode> revisions() {
    ConcurrentHashMap<String, Long> found = new ConcurrentHashMap<>();
    FetchConfigurationRequest request =
        FetchConfigurationRequest.newBuilder().setFromRevision(holder.current().revision()).build();
    List<CompletableFuture<?>> calls = new ArrayList<>();
    found.put(self.name(), holder.current().revision());
    for (Member member : directory.liveMembers()) {
      if (member.name().equals(self.name())) {
        continue;
      }
      calls.add(
          clients
              .call(member.address(), PeerMethods.FETCH_CONFIGURATION, request, REVISION_TIMEOUT)
              .handle(
                  (reply, failure) ->
                      found.put(
                          member.name(),
                          failure == null ? reply.getDelta().getToRevision() : -1L)));
    }
    return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
        .thenApply(
            done -> {
              ObjectNode answer = object();
              ObjectNode byMember = answer.putObject("revisions");
              found.forEach(byMember::put);
              return answer;
            });
  }
}
