package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;

/**
 * Client of the admin interface.
 *
 * <p>A change is sent again with the same command id when its answer is lost, to the next daemon,
 * so it takes effect at most once. Used by one thread.
 */
final class AdminClient implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int ROUNDS = 4;
  private static final int PAUSE_MILLIS = 300;
  private static final int UNAVAILABLE = 503;

  private final List<String> admins;
  private final String token;
  private final HttpClient client =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(1));

  AdminClient(List<String> admins, String token) {
    this.admins = List.copyOf(admins);
    this.token = token;
  }

  JsonNode get(String path) {
    return call("GET", path, JSON.createObjectNode());
  }

  /** Sends a change under a new command id. */
  JsonNode sendChange(String method, String path, ObjectNode body, long decidedOnRevision) {
    body.put("command_id", UUID.randomUUID().toString());
    body.put("decided_on_revision", decidedOnRevision);
    return call(method, path, body);
  }

  /** Sends a text; only for calls that may be made twice. */
  JsonNode sendText(String method, String path, String field, String text) {
    return call(method, path, JSON.createObjectNode().put(field, text));
  }

  JsonNode post(String path) {
    return call("POST", path, JSON.createObjectNode());
  }

  private JsonNode call(String method, String path, ObjectNode body) {
    String why = "";
    for (int round = 0; round < ROUNDS; round++) {
      for (String admin : admins) {
        try {
          HttpResponse reply = sendText(admin, method, path, body);
          if (reply.status() != UNAVAILABLE) {
            return read(reply);
          }
          why = detail(reply);
        } catch (CompletionException e) {
          why = e.getCause().getMessage();
        }
      }
      pause();
    }
    throw CliErrors.noDaemonResponded(String.join(",", admins), why);
  }

  private HttpResponse sendText(String admin, String method, String path, ObjectNode body) {
    String text = method.equals("GET") ? "" : body.toString();
    HttpRequest call =
        HttpRequest.of(admin, method, "/admin/v1/" + path, text)
            .withHeader("Authorization", "Bearer " + token);
    return client.send(call, TIMEOUT).join();
  }

  private static JsonNode read(HttpResponse reply) {
    if (reply.status() >= 400) {
      throw CliErrors.requestFailed(reply.status(), detail(reply));
    }
    return parse(reply);
  }

  private static String detail(HttpResponse reply) {
    return parse(reply).path("detail").asText("HTTP status " + reply.status());
  }

  private static JsonNode parse(HttpResponse reply) {
    try {
      return JSON.readTree(reply.text());
    } catch (JsonProcessingException e) {
      throw CliErrors.requestFailed(
          reply.status(), "The daemon's answer is not JSON: " + reply.text());
    }
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    client.close();
  }
}
