package org.toucansaddle.daemon.internal.admin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.relay.ExplainedRequest;
import org.toucansaddle.daemon.internal.gateway.relay.RouteExplanation;
import org.toucansaddle.daemon.internal.problem.ProblemException;

/** Tests of {@link ExplainOperations}. */
public class ExplainOperationsTest {

  private static final RouteExplanation ANSWER =
      new RouteExplanation(
          "r", 1, 0, List.of(), 0, "POST", "h", "/", "chat", "", "router", 0, List.of());

  private List<ExplainedRequest> explained;
  private ExplainOperations operations;

  @BeforeMethod
  public void setUp() {
    explained = new ArrayList<>();
    operations =
        new ExplainOperations(
            request -> {
              explained.add(request);
              return ANSWER;
            });
  }

  private static ObjectNode body(int promptTokens) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("host", "h")
        .put("path", "/")
        .put("prompt_tokens", promptTokens);
  }

  private void ask(ObjectNode body) {
    operations.perform(new AdminRequest("POST", "explain", "route", body));
  }

  @Test
  public void shouldTakePartsOfAsManyTokensAsThePrompt() {
    ObjectNode body = body(300);
    body.putArray("shared_parts").addObject().put("id", "a").put("tokens", 300);
    ask(body);
    assertThat(explained).hasSize(1);
    assertThat(explained.get(0).sharedTokens()).isEqualTo(300);
  }

  @Test
  public void shouldRefusePartsWhoseSumExceedsAnInt() {
    ObjectNode body = body(100_000_000);
    for (int i = 0; i < 43; i++) {
      body.withArray("shared_parts").addObject().put("id", "p" + i).put("tokens", 100_000_000);
    }
    assertThatThrownBy(() -> ask(body))
        .isInstanceOf(ProblemException.class)
        .hasMessageContaining("shared_parts");
    assertThat(explained).isEmpty();
  }

  @Test
  public void shouldRefuseNumbersOfTokensThatAreNotWhole() {
    ObjectNode body = body(300).put("output_tokens", 1.5);
    assertThatThrownBy(() -> ask(body))
        .isInstanceOf(ProblemException.class)
        .hasMessageContaining("output_tokens");
    assertThat(explained).isEmpty();
  }
}
