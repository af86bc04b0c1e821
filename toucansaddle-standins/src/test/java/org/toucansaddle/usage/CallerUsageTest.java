package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.standins.engine.ExpectedCompletion;
import org.toucansaddle.standins.load.Caller.Outcome;
import org.toucansaddle.standins.load.Caller.Result;

/** Usage tests of a fleet from the view of its callers. */
public class CallerUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private LocalFleet fleet;

  @BeforeClass
  public void startFleet() throws IOException {
    fleet = LocalFleet.start(3);
    fleet.configure();
    fleet.startEngine("engine-1", 4);
    fleet.startService("defects-1", 10);
    fleet.await(() -> fleet.sendModelRequest(0, "warm up").outcome() == Outcome.WHOLE);
  }

  @AfterClass(alwaysRun = true)
  public void stopFleet() throws Exception {
    fleet.close();
  }

  @DataProvider
  static Object[][] routers() {
    return new Object[][] {{0}, {1}, {2}};
  }

  @Test(dataProvider = "routers")
  public void shouldReturnCompleteAnswerThroughEachRouter(int router) {
    assertThat(fleet.sendModelRequest(router, "hello " + router).outcome())
        .isEqualTo(Outcome.WHOLE);
  }

  /** Guards against a 400 with an empty body as the response to an oversized header. */
  @Test
  public void shouldReturnTypedProblemForHeaderOfOneMegabyte() {
    HttpRequest call = post("/v1/completions", "{}").withHeader("X-Long", "x".repeat(1 << 20));
    HttpResponse response = send(call);
    assertThat(response.status()).isEqualTo(431);
    assertThat(response.text()).contains("head-too-long");
  }

  private HttpResponse send(HttpRequest call) {
    return fleet.client().send(call, TIMEOUT).join();
  }

  private HttpRequest post(String path, String body) {
    return HttpRequest.post(fleet.callerAddress(1), path, body)
        .withHeader("Authorization", "Bearer " + LocalFleet.API_KEY)
        .withHeader("X-Work-Class", "summary");
  }

  @Test
  public void shouldStreamCompleteAnswer() {
    String prompt = "streamed";
    HttpResponse response =
        send(post("/v1/completions", "{\"prompt\":\"" + prompt + "\",\"stream\":true}"));
    assertThat(response.header("Content-Type")).contains("text/event-stream");
    assertThat(response.text()).endsWith("data: [DONE]\n\n");
    int tokens = response.text().split("\"finish_reason\":null").length - 1;
    assertThat(tokens).isEqualTo(ExpectedCompletion.tokenCount(prompt));
  }

  @Test
  public void shouldEndEachOfManyStreamsWithDoneEvent() {
    List<CompletableFuture<HttpResponse>> replies = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      String body = "{\"prompt\":\"stream " + i + " [tokens=3]\",\"stream\":true}";
      HttpRequest call = post("/v1/completions", body).withHeader("X-Work-Class", "briefing");
      replies.add(fleet.client().send(call, Duration.ofSeconds(60)));
    }
    for (CompletableFuture<HttpResponse> response : replies) {
      assertThat(response.join().text()).endsWith("data: [DONE]\n\n");
    }
  }

  @Test
  public void shouldAnswerChatCompletion() {
    String body = "{\"messages\":[{\"role\":\"user\",\"content\":\"chart\"}]}";
    HttpResponse response = send(post("/v1/chat/completions", body));
    assertThat(response.text()).contains("\"role\":\"assistant\"");
    assertThat(response.text()).contains(ExpectedCompletion.text("chart").trim());
  }

  @DataProvider
  static Object[][] invalidRequests() {
    String validBody = "{\"prompt\":\"x\"}";
    return new Object[][] {
      {"/v1/completions", "{oops", 400, "bad-json"},
      {"/v1/completions", "[1]", 400, "bad-json"},
      {"/v1/completions", "{}", 400, "bad-json"},
      {"/v1/completions", "{\"prompt\":\"x\",\"max_tokens\":-1}", 400, "bad-json"},
      {"/v1/completions", "{\"prompt\":\"x\",\"model\":\"other\"}", 404, "unknown-model"},
      {"/v1/completions", "x".repeat(2 << 20), 413, "body-too-long"},
      {"/services/defects/record", validBody, 404, "unknown-service"},
      {"/nowhere", validBody, 404, "unknown-path"},
    };
  }

  @Test(dataProvider = "invalidRequests")
  public void shouldReturnTypedProblemForInvalidRequest(
      String path, String body, int status, String type) {
    HttpResponse response = send(post(path, body));
    assertThat(response.status()).isEqualTo(status);
    assertThat(response.header("Content-Type")).contains("application/problem+json");
    assertThat(response.text()).contains("\"title\":\"" + type + "\"", "\"run\":\"not-run\"");
  }

  @DataProvider
  static Object[][] invalidHeaders() {
    return new Object[][] {
      {"Authorization", "Bearer nobody", "unknown-key"},
      {"Authorization", "Basic x", "unknown-key"},
      {"X-Work-Class", "none", "unknown-class"},
      {"X-Cost-Hint", "-3", "bad-header"},
    };
  }

  @Test(dataProvider = "invalidHeaders")
  public void shouldReturnTypedProblemForInvalidHeader(String name, String value, String type) {
    HttpRequest call = post("/v1/completions", "{\"prompt\":\"x\"}").withHeader(name, value);
    assertThat(send(call).text()).contains("\"title\":\"" + type + "\"", "Send");
  }

  @Test
  public void shouldRunServiceCallOncePerIdempotencyKeyThroughAllRouters() {
    Result first = fleet.sendServiceCall(0, "once");
    Result second = fleet.sendServiceCall(1, "once");
    assertThat(first.outcome()).isEqualTo(Outcome.WHOLE);
    fleet.await(() -> fleet.sendServiceCall(2, "once").outcome() == Outcome.WHOLE);
    assertThat(second.outcome()).isIn(Outcome.WHOLE, Outcome.PROBLEM);
    assertThat(fleet.journalEntries("recorded").stream().filter(e -> e.text("key").equals("once")))
        .hasSize(1);
  }

  @Test
  public void shouldRejectServiceCallWithoutIdempotencyKey() {
    HttpRequest call =
        HttpRequest.post(fleet.callerAddress(0), "/services/defects/record", "{}")
            .withHeader("Authorization", "Bearer " + LocalFleet.API_KEY)
            .withHeader("X-Work-Class", "record");
    assertThat(send(call).text()).contains("idempotency-key-required");
  }

  @Test
  public void shouldStayAvailableUnderMalformedRequests() {
    SplittableRandom random = new SplittableRandom(17);
    String[] paths = {"/v1/completions", "/v1/upstreams/announce", "/services/defects/x", "/"};
    for (int round = 0; round < 300; round++) {
      byte[] bytes = new byte[random.nextInt(200)];
      for (int i = 0; i < bytes.length; i++) {
        bytes[i] = (byte) (32 + random.nextInt(95));
      }
      String body = new String(bytes, StandardCharsets.US_ASCII);
      HttpResponse response = send(post(paths[random.nextInt(paths.length)], "{" + body));
      assertThat(response.status()).as("round %d", round).isBetween(400, 499);
      assertThat(response.text())
          .as("round %d", round)
          .contains("\"title\"")
          .doesNotContain("\tat ");
    }
    assertThat(fleet.sendModelRequest(0, "still here").outcome()).isEqualTo(Outcome.WHOLE);
  }

  @DataProvider
  static Object[][] probes() {
    return new Object[][] {{"/healthz", "ok"}, {"/readyz", "ready"}, {"/metrics", "toucansaddle_"}};
  }

  @Test(dataProvider = "probes")
  public void shouldServeProbesAndMetrics(String path, String expected) {
    HttpResponse response = send(HttpRequest.get(fleet.callerAddress(2), path));
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.text()).contains(expected);
  }
}
