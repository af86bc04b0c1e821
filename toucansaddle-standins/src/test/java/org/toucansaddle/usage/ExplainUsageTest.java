package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.cli.CliMain;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of operators who ask a router where a request would go. */
public class ExplainUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SESSIONS = 8;

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final List<String> arrivals = new CopyOnWriteArrayList<>();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;
  private Path token;

  @BeforeMethod
  public void startGateway() throws Exception {
    token = Files.writeString(Files.createTempFile("token", ""), LocalGateway.OPERATOR_TOKEN);
    gateway = new LocalGateway();
    upstreams = new ScriptedUpstreams(gateway, this::answer);
    upstreams.start("desk-a", "desk", "", "za");
    upstreams.start("desk-b", "desk", "", "zb");
    gateway.awaitServing();
    LocalGateway.await(() -> explain("session-0").path("services").at("/0/upstreams").size() == 2);
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
    Files.delete(token);
  }

  private void answer(Exchange exchange) throws IOException {
    arrivals.add(exchange.upstream());
    exchange.writeHead(200, "Content-Length: 2");
    exchange.write("ok");
  }

  private JsonNode explain(String session) {
    String body =
        ("{\"host\": \"%s\", \"path\": \"/repeatable/x\", \"account\": \"captain\","
                + " \"prompt_tokens\": 500, \"output_tokens\": 10,"
                + " \"shared_parts\": [{\"id\": \"%s\", \"tokens\": 400}]}")
            .formatted(LocalGateway.HOST, session);
    HttpResponse response = ask("Bearer " + LocalGateway.OPERATOR_TOKEN, body);
    assertThat(response.status()).as(response.text()).isEqualTo(200);
    try {
      return JSON.readTree(response.text());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpResponse ask(String authorization, String body) {
    HttpRequest request =
        HttpRequest.of(gateway.operatorAddress(0), "POST", "/admin/v1/explain/route", body)
            .withHeader("Authorization", authorization);
    return client.send(request, TIMEOUT).join();
  }

  private HttpResponse send(String session) {
    HttpRequest request =
        gateway
            .request(0, "/repeatable/x")
            .withHeader("X-Tokens", "500,10")
            .withHeader("X-Prompt-Parts", session + ":400,own:100");
    return client.send(request, TIMEOUT).join();
  }

  @Test
  public void shouldSendRequestWhereExplanationSaid() {
    for (int i = 0; i < SESSIONS; i++) {
      String session = "session-" + i;
      JsonNode service = explain(session).at("/services/0");
      assertThat(service.at("/admission/outcome").asText()).isEqualTo("admitted");
      assertThat(service.path("first")).as(service.toString()).hasSize(1);
      assertThat(service.at("/first/0/reason").asText()).isEqualTo("prefix");
      arrivals.clear();
      assertThat(send(session).status()).isEqualTo(200);
      assertThat(arrivals).containsExactly(service.at("/first/0/upstream").asText());
      assertThat(service.at("/next/0/upstream").asText()).isNotIn(arrivals);
    }
  }

  @Test
  public void shouldNameUpstreamOfZoneOutOfService() throws Exception {
    gateway.control(3).order(new ZoneOrder("za", true), TIMEOUT).get();
    LocalGateway.await(
        () ->
            explain("session-0")
                .at("/services/0/upstreams/0/obstacle")
                .asText()
                .equals("zone-out-of-service"));
    JsonNode service = explain("session-0").at("/services/0");
    assertThat(service.at("/first/0/upstream").asText()).isEqualTo("desk-b");
    assertThat(service.path("next")).isEmpty();
    assertThat(service.at("/upstreams/1/ages/report_millis").asLong()).isNotNegative();
  }

  @DataProvider
  public Object[][] commands() {
    return new Object[][] {
      {0, "--host h.example --path /repeatable/x --account captain"},
      {0, "--host h.example --path /repeatable/x --account captain --output json"},
      {0, "--host H.example:80 --path /once/x --account captain --tokens 9 --prefix a:b:4"},
      {2, "--host h.example --path /once/x --account captain --tokens 9 --prefix a"},
      {2, "--host h.example --path /once/x --account captain --tokens 9 --prefix a:10"},
      {2, "--host h.example --path /once/x"},
      {2, "--path /once/x"},
      {6, "--host other.example --path /once/x --account captain"},
      {6, "--host h.example --path /other/x --account captain"},
      {7, "--host h.example --path /once/x --account nobody"},
    };
  }

  @Test(dataProvider = "commands")
  public void shouldExitWithCodeOf(int exitCode, String options) {
    assertThat(run(gateway.operatorAddress(0), options)).isEqualTo(exitCode);
  }

  @Test
  public void shouldExitWithCodeOfItsOwnIfNoRouterAnswers() {
    String options = "--host h.example --path /once/x --account captain";
    assertThat(run(gateway.allocateAddress(), options)).isEqualTo(8);
  }

  @Test
  public void shouldAskForTokenOfOperators() {
    assertThat(ask("Bearer other", "{}").status()).isEqualTo(401);
  }

  private int run(String address, String options) {
    List<String> words = new ArrayList<>(List.of("explain", "route"));
    words.addAll(List.of(options.split(" ")));
    words.addAll(List.of("--admin", address, "--token-file", token.toString()));
    return CliMain.run(words.toArray(String[]::new));
  }
}
