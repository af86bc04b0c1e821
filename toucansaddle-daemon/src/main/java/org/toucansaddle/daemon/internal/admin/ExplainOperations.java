package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.toucansaddle.daemon.internal.gateway.relay.ExplainedRequest;
import org.toucansaddle.daemon.internal.gateway.relay.ExplainedRequest.SharedPart;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation;
import org.toucansaddle.daemon.internal.problem.ProblemException;

/** Admin operation of a router that explains where a request would go. Thread-safe. */
public final class ExplainOperations implements AdminService {

  private static final String COLLECTION = "explain";
  private static final String NAME = "route";
  private static final int MAX_TOKENS = 100_000_000;
  private static final int MAX_PARTS = 64;

  private static final ObjectMapper JSON =
      new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

  private final Function<ExplainedRequest, RouteExplanation> explainer;

  /** Creates the operation; {@code explainer} answers it without waiting. */
  public ExplainOperations(Function<ExplainedRequest, RouteExplanation> explainer) {
    this.explainer = explainer;
  }

  @Override
  public CompletableFuture<ObjectNode> perform(AdminRequest request) {
    if (!request.collection().equals(COLLECTION)
        || !request.name().equals(NAME)
        || !request.method().equals("POST")) {
      throw new ProblemException(
          AdminProblems.unknownPath(request.collection() + "/" + request.name()));
    }
    return CompletableFuture.completedFuture(
        JSON.valueToTree(explainer.apply(parse(request.body()))));
  }

  private static ExplainedRequest parse(ObjectNode body) {
    List<SharedPart> parts = new ArrayList<>();
    for (JsonNode part : body.path("shared_parts")) {
      parts.add(new SharedPart(text(part, "id"), tokens(part, "tokens")));
    }
    ExplainedRequest request =
        new ExplainedRequest(
            body.path("method").asText("POST"),
            text(body, "host"),
            text(body, "path"),
            Optional.of(body.path("account").asText("")).filter(name -> !name.isEmpty()),
            tokens(body, "prompt_tokens"),
            tokens(body, "output_tokens"),
            parts);
    if (parts.size() > MAX_PARTS || request.sharedTokens() > request.promptTokens()) {
      throw badField(
          "shared_parts",
          "at most %d, with no more tokens together than prompt_tokens, %d"
              .formatted(MAX_PARTS, request.promptTokens()));
    }
    return request;
  }

  private static String text(JsonNode body, String field) {
    String value = body.path(field).asText("");
    if (value.isEmpty()) {
      throw badField(field, "a text that is not empty");
    }
    return value;
  }

  private static int tokens(JsonNode body, String field) {
    JsonNode node = body.path(field);
    boolean isNumber =
        node.isIntegralNumber()
            && node.canConvertToInt()
            && node.asInt() >= 0
            && node.asInt() <= MAX_TOKENS;
    if (!node.isMissingNode() && !isNumber) {
      throw badField(field, "a whole number from 0 to " + MAX_TOKENS);
    }
    return node.asInt(0);
  }

  private static ProblemException badField(String field, String allowed) {
    return new ProblemException(AdminProblems.badField(field, allowed));
  }
}
