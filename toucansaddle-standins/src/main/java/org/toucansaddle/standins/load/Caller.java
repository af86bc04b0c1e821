package org.toucansaddle.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.standins.engine.ExpectedAnswer;

/** Sends requests of client accounts and checks the answers. Thread-safe. */
public final class Caller {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(120);

  private final HttpClient client;

  /** Creates a caller. */
  public Caller(HttpClient client) {
    this.client = client;
  }

  /** What became of a request. */
  public enum Outcome {
    /** The whole answer to this request. */
    WHOLE,
    /** An answer that is not the whole one to this request. */
    WRONG,
    /** Refused or failed, with a typed problem. */
    PROBLEM,
    /** No answer. */
    LOST
  }

  /**
   * Result of a request. Immutable.
   *
   * @param outcome what became of it
   * @param status HTTP status, or 0
   * @param run the problem's run state, or empty
   * @param text the answer or problem
   */
  public record Result(Outcome outcome, int status, String run, String text) {}

  /** Sends a model request for a whole answer. */
  public CompletableFuture<Result> ask(
      String router, String key, String workClass, String prompt, String hint) {
    String body = JSON.createObjectNode().put("prompt", prompt).toString();
    HttpRequest call =
        HttpRequest.post(router, "/v1/completions", body)
            .withHeader("Authorization", "Bearer " + key)
            .withHeader("X-Work-Class", workClass);
    HttpRequest hinted = hint.isEmpty() ? call : call.withHeader("X-Cost-Hint", hint);
    return client.send(hinted, TIMEOUT).handle((reply, failure) -> judge(prompt, reply, failure));
  }

  private static Result judge(String prompt, HttpResponse reply, Throwable failure) {
    if (failure != null) {
      return new Result(Outcome.LOST, 0, "", String.valueOf(failure.getMessage()));
    }
    JsonNode json = parse(reply);
    if (reply.status() != 200) {
      return problem(reply, json);
    }
    String text = json.path("choices").path(0).path("text").asText();
    boolean whole = text.equals(ExpectedAnswer.text(prompt));
    return new Result(whole ? Outcome.WHOLE : Outcome.WRONG, 200, "", text);
  }

  private static Result problem(HttpResponse reply, JsonNode json) {
    String run = json.path("run").asText();
    Outcome outcome = run.isEmpty() ? Outcome.WRONG : Outcome.PROBLEM;
    return new Result(outcome, reply.status(), run, reply.text());
  }

  private static JsonNode parse(HttpResponse reply) {
    try {
      return JSON.readTree(reply.text());
    } catch (JsonProcessingException e) {
      return JSON.createObjectNode();
    }
  }

  /** Sends a service call with an idempotency key. */
  public CompletableFuture<Result> record(
      String router, String key, String workClass, String path, String idempotencyKey) {
    String body = JSON.createObjectNode().put("mark", idempotencyKey).toString();
    HttpRequest call =
        HttpRequest.post(router, path, body)
            .withHeader("Authorization", "Bearer " + key)
            .withHeader("X-Work-Class", workClass)
            .withHeader("Idempotency-Key", idempotencyKey);
    return client
        .send(call, TIMEOUT)
        .handle(
            (reply, failure) -> {
              if (failure != null) {
                return new Result(Outcome.LOST, 0, "", String.valueOf(failure.getMessage()));
              }
              JsonNode json = parse(reply);
              if (reply.status() != 201) {
                return problem(reply, json);
              }
              boolean own = json.path("defect").path("mark").asText().equals(idempotencyKey);
              Outcome outcome = own ? Outcome.WHOLE : Outcome.WRONG;
              return new Result(outcome, reply.status(), "", reply.text());
            });
  }
}
