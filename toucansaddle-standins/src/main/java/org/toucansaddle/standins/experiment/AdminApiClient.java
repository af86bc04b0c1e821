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

/**
 * Client of the admin interface for experiments.
 *
 * <p>Reads return empty if the daemon fails or doesn't respond in time. Thread-safe.
 */
final class AdminApiClient implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration READ_TIMEOUT = Duration.ofMillis(400);
  private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(12);
  private static final int MAX_IN_FLIGHT = 40;

  private final String token;
  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());

  AdminApiClient(String token) {
    this.token = token;
  }

  /**
   * Result of a change. Immutable.
   *
   * @param status HTTP status
   * @param revision revision in the response, or 0 if there is none
   */
  record ChangeResult(int status, long revision) {
    boolean isAccepted() {
      return status == 200;
    }
  }

  private Optional<JsonNode> get(String adminAddress, String path) {
    HttpRequest call =
        HttpRequest.get(adminAddress, "/admin/v1/" + path)
            .withHeader("Authorization", "Bearer " + token);
    try {
      HttpResponse response = client.send(call, READ_TIMEOUT).join();
      return response.status() == 200
          ? Optional.of(JSON.readTree(response.text()))
          : Optional.empty();
    } catch (CompletionException | JsonProcessingException e) {
      return Optional.empty();
    }
  }

  /** Returns the status of a daemon, or empty if it is unavailable. */
  Optional<JsonNode> status(String adminAddress) {
    return get(adminAddress, "status");
  }

  boolean isLeader(String adminAddress) {
    return status(adminAddress)
        .filter(statusJson -> statusJson.path("control").path("role").asText().equals("leader"))
        .isPresent();
  }

  /**
   * Returns whether the leader reports that all control replicas hold the full state again.
   *
   * @param excludedName name of the restarted daemon, whose own report is ignored
   */
  boolean isFullyReplicated(Fleet fleet, String excludedName) {
    for (RouterAddresses router : fleet.routers()) {
      Optional<JsonNode> status = status(router.adminAddress());
      boolean fullyReplicated =
          status
              .filter(statusJson -> statusJson.path("control").path("repaired").asBoolean())
              .isPresent();
      if (fullyReplicated && !router.name().equals(excludedName)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Sets the whole-answer target of a work class.
   *
   * <p>Retries at the next daemon, with the same command id, until one responds with a status other
   * than 503. Connection failures and unreadable responses are retried without limit as well.
   *
   * @param decidedOnRevision revision of the class that the change is based on
   */
  ChangeResult putClass(
      List<String> adminAddresses, String name, int wholeAnswerMillis, long decidedOnRevision) {
    ObjectNode body = classBody(wholeAnswerMillis, decidedOnRevision);
    for (int attempt = 0; ; attempt++) {
      String adminAddress = adminAddresses.get(attempt % adminAddresses.size());
      try {
        HttpResponse response = sendPutClass(adminAddress, name, body).join();
        if (response.status() != 503) {
          long revision = JSON.readTree(response.text()).path("revision").asLong();
          return new ChangeResult(response.status(), revision);
        }
      } catch (CompletionException | JsonProcessingException e) {
        SharingScenario.sleep(50);
      }
    }
  }

  private static ObjectNode classBody(int wholeAnswerMillis, long decidedOnRevision) {
    return JSON.createObjectNode()
        .put("kind", "model")
        .put("pool", "m")
        .put("first_token_millis", 1_000)
        .put("whole_answer_millis", wholeAnswerMillis)
        .put("command_id", UUID.randomUUID().toString())
        .put("decided_on_revision", decidedOnRevision);
  }

  private CompletableFuture<HttpResponse> sendPutClass(
      String adminAddress, String name, ObjectNode body) {
    HttpRequest call =
        HttpRequest.of(adminAddress, "PUT", "/admin/v1/classes/" + name, body.toString())
            .withHeader("Authorization", "Bearer " + token);
    return client.send(call, CHANGE_TIMEOUT);
  }

  /** Creates work classes in batches of concurrent calls; returns how many were accepted. */
  int createClasses(String adminAddress, String namePrefix, int count) {
    int accepted = 0;
    for (int batchStart = 0; batchStart < count; batchStart += MAX_IN_FLIGHT) {
      List<CompletableFuture<HttpResponse>> calls = new ArrayList<>();
      for (int i = batchStart; i < Math.min(count, batchStart + MAX_IN_FLIGHT); i++) {
        calls.add(sendPutClass(adminAddress, namePrefix + "-" + i, classBody(9_000, 0)));
      }
      for (CompletableFuture<HttpResponse> call : calls) {
        try {
          accepted += call.join().status() == 200 ? 1 : 0;
        } catch (CompletionException e) {
          // A change without a response does not count as accepted.
        }
      }
    }
    return accepted;
  }

  /** Returns the whole-answer target in force at a daemon, or -1 if unknown. */
  int wholeAnswerMillis(String adminAddress, String name) {
    Optional<JsonNode> classes = get(adminAddress, "classes");
    if (classes.isPresent()) {
      for (JsonNode workClass : classes.get().path("classes")) {
        if (workClass.path("name").asText().equals(name)) {
          return workClass.path("whole_answer_millis").asInt();
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
