package org.toucansaddle.standins.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.RouterAddresses;

/** Calls of the admin interface that experiments make. Thread-safe. */
final class AdminApi implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration STATUS_TIMEOUT = Duration.ofMillis(400);
  private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(12);
  private static final int IN_FLIGHT = 40;

  private final String token;
  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());

  AdminApi(String token) {
    this.token = token;
  }

  /** What became of a change. Immutable. */
  record ChangeResult(int status, long revision) {
    boolean isAccepted() {
      return status == 200;
    }

    boolean isConflict() {
      return status == 409;
    }
  }

  private Optional<JsonNode> get(String admin, String path) {
    HttpRequest call =
        HttpRequest.get(admin, "/admin/v1/" + path).withHeader("Authorization", "Bearer " + token);
    try {
      HttpResponse reply = client.send(call, STATUS_TIMEOUT).join();
      return reply.status() == 200 ? Optional.of(JSON.readTree(reply.text())) : Optional.empty();
    } catch (CompletionException | JsonProcessingException e) {
      return Optional.empty();
    }
  }

  /** Returns the status of a daemon, if it answers. */
  Optional<JsonNode> status(String admin) {
    return get(admin, "status");
  }

  boolean isLeader(String admin) {
    return status(admin)
        .filter(s -> s.path("control").path("role").asText().equals("leader"))
        .isPresent();
  }

  /** Returns whether the leader says that all replicas hold the state, this one among them. */
  boolean isRepaired(Fleet fleet, String name) {
    for (RouterAddresses router : fleet.routers()) {
      Optional<JsonNode> status = status(router.admin());
      boolean repaired =
          status.filter(s -> s.path("control").path("repaired").asBoolean()).isPresent();
      if (repaired && !router.name().equals(name)) {
        return true;
      }
    }
    return false;
  }

  /** Sets a class's whole-answer target; retries with the same command id until it is answered. */
  ChangeResult putClass(List<String> admins, String name, int wholeMillis, long decidedOn) {
    ObjectNode body = classBody(wholeMillis, decidedOn);
    for (int attempt = 0; ; attempt++) {
      String admin = admins.get(attempt % admins.size());
      try {
        HttpResponse reply = send(admin, name, body).join();
        if (reply.status() != 503) {
          long revision = JSON.readTree(reply.text()).path("revision").asLong();
          return new ChangeResult(reply.status(), revision);
        }
      } catch (CompletionException | JsonProcessingException e) {
        SharingScenario.sleep(50);
      }
    }
  }

  private static ObjectNode classBody(int wholeMillis, long decidedOn) {
    return JSON.createObjectNode()
        .put("kind", "model")
        .put("pool", "m")
        .put("first_token_millis", 1_000)
        .put("whole_answer_millis", wholeMillis)
        .put("command_id", UUID.randomUUID().toString())
        .put("decided_on_revision", decidedOn);
  }

  private CompletableFuture<HttpResponse> send(String admin, String name, ObjectNode body) {
    HttpRequest call =
        HttpRequest.of(admin, "PUT", "/admin/v1/classes/" + name, body.toString())
            .withHeader("Authorization", "Bearer " + token);
    return client.send(call, CHANGE_TIMEOUT);
  }

  /** Creates many classes, some at a time; returns how many were accepted. */
  int putManyClasses(String admin, String prefix, int count) {
    int accepted = 0;
    for (int first = 0; first < count; first += IN_FLIGHT) {
      List<CompletableFuture<HttpResponse>> calls = new ArrayList<>();
      for (int i = first; i < Math.min(count, first + IN_FLIGHT); i++) {
        calls.add(send(admin, prefix + "-" + i, classBody(9_000, 0)));
      }
      for (CompletableFuture<HttpResponse> call : calls) {
        try {
          accepted += call.join().status() == 200 ? 1 : 0;
        } catch (CompletionException e) {
          // A change without an answer does not count as accepted.
        }
      }
    }
    return accepted;
  }

  /** Returns the target of a class as a daemon has it in force, or -1. */
  int wholeMillis(String admin, String name) {
    Optional<JsonNode> answer = get(admin, "classes");
    if (answer.isPresent()) {
      for (JsonNode item : answer.get().path("classes")) {
        if (item.path("name").asText().equals(name)) {
          return item.path("whole_answer_millis").asInt();
        }
      }
    }
    return -1;
  }

  @Override
  public void close() {
    client.close();
  }
}
