package org.toucansaddle.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.standins.engine.ExpectedCompletion;

/** Sends requests on behalf of client accounts and verifies the responses. Thread-safe. */
public final class Caller {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(120);

  private final HttpClient client;

  /** Creates a caller that sends through {@code client} and does not close it. */
  public Caller(HttpClient client) {
    this.client = client;
  }

  /** Outcome of a request. */
  public enum Outcome {
    /** The complete and correct response to this request. */
    WHOLE,
    /** A response that is incomplete, belongs to another request or has an unexpected form. */
    WRONG,
    /** A refusal or failure, reported as a typed problem. */
    PROBLEM,
    /** No response: the connection failed or the request timed out. */
    LOST
  }

  /**
   * Result of a request. Immutable.
   *
   * @param outcome outcome of the request
   * @param status HTTP status, or 0 if there was no response
   * @param runState whether the request was executed, according to the problem; otherwise empty
   * @param text text of the response, the problem or the error message
   */
  public record Result(Outcome outcome, int status, String runState, String text) {}

  /**
   * Sends a model request whose response isn't streamed.
   *
   * @param router address of the router
   * @param apiKey API key of the account
   * @param costHint value of the cost hint header, or empty to send none
   */
  public CompletableFuture<Result> sendModelRequest(
      String router, String apiKey, String workClass, String prompt, String costHint) {
    String body = JSON.createObjectNode().put("prompt", prompt).toString();
    HttpRequest call =
        HttpRequest.post(router, "/v1/completions", body)
            .withHeader("Authorization", "Bearer " + apiKey)
            .withHeader("X-Work-Class", workClass);
    HttpRequest callWithHint = costHint.isEmpty() ? call : call.withHeader("X-Cost-Hint", costHint);
    return client
        .send(callWithHint, TIMEOUT)
        .handle((response, failure) -> toModelResult(prompt, response, failure));
  }

  private static Result toModelResult(String prompt, HttpResponse response, Throwable failure) {
    if (failure != null) {
      return new Result(Outcome.LOST, 0, "", String.valueOf(failure.getMessage()));
    }
    JsonNode json = parseJson(response);
    if (response.status() != 200) {
      return toProblemResult(response, json);
    }
    String text = json.path("choices").path(0).path("text").asText();
    boolean complete = text.equals(ExpectedCompletion.text(prompt));
    return new Result(complete ? Outcome.WHOLE : Outcome.WRONG, 200, "", text);
  }

  private static Result toProblemResult(HttpResponse response, JsonNode json) {
    String runState = json.path("run").asText();
    Outcome outcome = runState.isEmpty() ? Outcome.WRONG : Outcome.PROBLEM;
    return new Result(outcome, response.status(), runState, response.text());
  }

  private static JsonNode parseJson(HttpResponse response) {
    try {
      return JSON.readTree(response.text());
    } catch (JsonProcessingException e) {
      return JSON.createObjectNode();
    }
  }

  /**
   * Sends a service call with an idempotency key.
   *
   * @param router address of the router
   * @param apiKey API key of the account
   */
  public CompletableFuture<Result> sendServiceCall(
      String router, String apiKey, String workClass, String path, String idempotencyKey) {
    String body = JSON.createObjectNode().put("mark", idempotencyKey).toString();
    HttpRequest call =
        HttpRequest.post(router, path, body)
            .withHeader("Authorization", "Bearer " + apiKey)
            .withHeader("X-Work-Class", workClass)
            .withHeader("Idempotency-Key", idempotencyKey);
    return client
        .send(call, TIMEOUT)
        .handle(
            (response, failure) -> {
              if (failure != null) {
                return new Result(Outcome.LOST, 0, "", String.valueOf(failure.getMessage()));
              }
              JsonNode json = parseJson(response);
              if (response.status() != 201) {
                return toProblemResult(response, json);
              }
              boolean matches = json.path("defect").path("mark").asText().equals(idempotencyKey);
              Outcome outcome = matches ? Outcome.WHOLE : Outcome.WRONG;
              return new Result(outcome, response.status(), "", response.text());
            });
  }
}
