package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.function.BiFunction;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;

/**
 * Client of the admin API.
 *
 * <p>If no response arrives or the daemon is unavailable, the request is retried at the next
 * daemon. A change is retried with the same command id, so that it takes effect at most once. Not
 * thread-safe.
 */
final class AdminClient implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_ROUNDS = 4;
  private static final int RETRY_DELAY_MILLIS = 300;
  private static final int HTTP_UNAVAILABLE = 503;

  private final List<String> addresses;
  private final String token;
  private final HttpClient httpClient =
      HttpClient.create(HttpClientSettings.defaults().withIoThreads(1));

  AdminClient(List<String> addresses, String token) {
    this.addresses = List.copyOf(addresses);
    this.token = token;
  }

  JsonNode get(String path) {
    return sendWithRetry("GET", path, JSON.createObjectNode());
  }

  /** Sends a change under a new command id, based on the given revision of the item. */
  JsonNode sendChange(String method, String path, ObjectNode body, long baseRevision) {
    body.put("command_id", UUID.randomUUID().toString());
    body.put("decided_on_revision", baseRevision);
    return sendWithRetry(method, path, body);
  }

  /** Sends a text field; the operation must be idempotent, because it may be retried. */
  JsonNode sendText(String method, String path, String field, String text) {
    return sendWithRetry(method, path, JSON.createObjectNode().put(field, text));
  }

  /** Asks a router, which changes nothing. */
  JsonNode askRouter(String path, ObjectNode body) {
    return sendWithRetry("POST", path, body, CliErrors::noRouterResponded);
  }

  JsonNode post(String path) {
    return send("POST", path);
  }

  /** Sends a request without content; it must be idempotent, because it may be retried. */
  JsonNode send(String method, String path) {
    return sendWithRetry(method, path, JSON.createObjectNode());
  }

  private JsonNode sendWithRetry(String method, String path, ObjectNode body) {
    return sendWithRetry(method, path, body, CliErrors::noDaemonResponded);
  }

  private JsonNode sendWithRetry(
      String method,
      String path,
      ObjectNode body,
      BiFunction<String, String, CliException> unanswered) {
    String lastError = "";
    for (int round = 0; round < MAX_ROUNDS; round++) {
      for (String address : addresses) {
        try {
          HttpResponse response = sendOnce(address, method, path, body);
          if (response.status() != HTTP_UNAVAILABLE) {
            return parseSuccess(response);
          }
          lastError = errorDetail(response);
        } catch (CompletionException e) {
          lastError = e.getCause().getMessage();
        }
      }
      sleep();
    }
    throw unanswered.apply(String.join(",", addresses), lastError);
  }

  private HttpResponse sendOnce(String address, String method, String path, ObjectNode body) {
    String content = method.equals("GET") ? "" : body.toString();
    HttpRequest request =
        HttpRequest.of(address, method, "/admin/v1/" + path, content)
            .withHeader("Authorization", "Bearer " + token);
    return httpClient.send(request, REQUEST_TIMEOUT).join();
  }

  private static JsonNode parseSuccess(HttpResponse response) {
    if (response.status() >= 400) {
      String type = parse(response).path("title").asText("");
      throw CliErrors.requestFailed(response.status(), type, errorDetail(response));
    }
    return parse(response);
  }

  private static String errorDetail(HttpResponse response) {
    return parse(response).path("detail").asText("HTTP status " + response.status());
  }

  private static JsonNode parse(HttpResponse response) {
    try {
      return JSON.readTree(response.text());
    } catch (JsonProcessingException e) {
      throw CliErrors.requestFailed(
          response.status(), "The response of the daemon is not JSON: " + response.text());
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    httpClient.close();
  }
}
