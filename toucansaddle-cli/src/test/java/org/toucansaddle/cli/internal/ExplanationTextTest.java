package org.toucansaddle.cli.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.cli.internal.ExplainCommands.RequestOptions;
import picocli.CommandLine;

/** Tests of what {@code explain route} sends and prints. */
public class ExplanationTextTest {

  private static final String EXPLANATION =
      """
      {"router": "n1", "document_version": 7, "zones_revision": 3,
       "zones_out_of_service": ["za"], "update_age_millis": 120, "method": "POST",
       "host": "h.example", "path": "/x", "route": "chat", "account": "captain",
       "placement": "control daemon", "lag_millis": 0.4,
       "services": [{"service": "model", "weight": 3, "probability": 0.75,
         "admission": {"outcome": "drawn", "part": 0.4, "refusal": "above-share",
           "detail": "The account is above it.",
           "usage": {"utilisation": 0.9, "pool_full": true, "demanded_tokens": 90,
             "admitted_tokens": 60, "fair_share_tokens": -1, "age_millis": -1}},
         "first": [{"upstream": "u1", "reason": "prefix", "probability": 1,
           "expected_first_token_millis": 31.6, "prefill_tokens": 100}],
         "next": [],
         "upstreams": [
           {"id": "u1", "zone": "zb", "obstacle": "", "requests": 1, "slots": 8, "pace": -1,
            "pause_millis": 0, "warm_up_millis": 0, "requests_per_second": -1,
            "ages": {"report_millis": 40, "load_millis": -1, "limit_millis": -1}},
           {"id": "u2", "zone": "", "obstacle": "paced", "detail": "its pace", "requests": 4,
            "slots": 8, "pace": 4, "pause_millis": 0, "warm_up_millis": 0,
            "requests_per_second": 2.5,
            "ages": {"report_millis": 41, "load_millis": 5, "limit_millis": 6}}]}]}
      """;

  @Test
  public void shouldPrintExplanation() throws JsonProcessingException {
    List<String> lines = new ExplanationText(new ObjectMapper().readTree(EXPLANATION)).lines();
    assertThat(lines)
        .containsExactly(
            "POST h.example/x: route chat, account captain",
            "router n1: configuration 7, last update 120 ms ago, zones out of service za"
                + " (revision 3), reads 0 ms late",
            "a control daemon is asked first; if it does not decide:",
            "",
            "service model, weight 3: 75 % of the requests",
            "  drawn, 40 % of such requests are admitted: above-share, The account is above it.",
            "  engines 90 % used and full; account demands 90 tokens, got 60, share unbounded;"
                + " age of others' use unknown",
            "  goes to: u1, 100 %, prefix; first token in 32 ms, 100 tokens to read",
            "  then to: none",
            "  upstream u1 in zone zb: may be drawn; 1 requests of 8 slots, pace unbounded,"
                + " pause 0 ms, warm-up 0 ms, limit per second unbounded; ages: report 40 ms,"
                + " load unknown, limit unknown",
            "  upstream u2 in zone none: no, paced: its pace; 4 requests of 8 slots, pace 4.0,"
                + " pause 0 ms, warm-up 0 ms, limit per second 2.5; ages: report 41 ms, load 5 ms,"
                + " limit 6 ms");
  }

  private static RequestOptions parse(String prefix) {
    RequestOptions options = new RequestOptions();
    new CommandLine(new Wrapper(options))
        .parseArgs("--host", "h", "--path", "/x", "--tokens", "9", "--prefix", prefix);
    return options;
  }

  @CommandLine.Command
  private static final class Wrapper {

    @CommandLine.Mixin private final RequestOptions options;

    Wrapper(RequestOptions options) {
      this.options = options;
    }
  }

  @Test
  public void shouldSplitPrefixAtLastColon() {
    assertThat(parse("a:b:4").toJson().toString())
        .isEqualTo(
            "{\"host\":\"h\",\"path\":\"/x\",\"method\":\"POST\",\"account\":\"\","
                + "\"prompt_tokens\":9,\"output_tokens\":0,"
                + "\"shared_parts\":[{\"id\":\"a:b\",\"tokens\":4}]}");
  }

  @DataProvider
  public Object[][] invalidPrefixes() {
    return new Object[][] {{"a"}, {":4"}, {"a:"}, {"a:-1"}, {"a:4x"}, {"a:12345678901"}};
  }

  @Test(dataProvider = "invalidPrefixes")
  public void shouldNameInvalidPrefix(String prefix) {
    assertThatThrownBy(() -> parse(prefix).toJson())
        .isInstanceOfSatisfying(
            CliException.class, e -> assertThat(e.exitCode()).isEqualTo(CliErrors.EXIT_USAGE))
        .hasMessageContaining("'" + prefix + "'")
        .hasMessageContaining("ID:TOKENS");
  }
}
