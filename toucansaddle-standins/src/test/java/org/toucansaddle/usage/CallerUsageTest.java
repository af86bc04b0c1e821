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
import org.toucansaddle.standins.engine.ExpectedAnswer;
import org.toucansaddle.standins.load.Caller.Outcome;
import org.toucansaddle.standins.load.Caller.Result;

/** A fleet as its callers use it. */
public class CallerUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private LocalFleet fleet;

  @BeforeClass
  public void startFleet() throws IOException {
    fleet = LocalFleet.start(3);
    fleet.configure();
    fleet.startEngine("engine-1", 4);
    fleet.startService("defects-1", 10);
    fleet.await(() -> fleet.ask(0, "warm up").outcome() == Outcome.WHOLE);
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
  public void shouldAnswerWholeThroughEachRouter(int router) {
    assertThat(fleet.ask(router, "hello " + router).outcome()).isEqualTo(Outcome.WHOLE);
  }

  /** It once got a 400 with an empty body. */
  @Test
  public void shouldAnswerAHeaderOfAMegabyteWithATypedError() {
    HttpRequest call = post("/v1/completions", "{}").withHeader("X-Long", "x".repeat(1 << 20));
    HttpResponse reply = send(call);
    assertThat(reply.status()).isEqualTo(431);
    assertThat(reply.text()).contains("head-too-long");
  }

  private HttpResponse send(HttpRequest call) {
    return fleet.client().send(call, TIMEOUT).join();
  }

  private HttpRequest post(String path, String body) {
    return HttpRequest.post(fleet.callers(1), path, body)
        .withHeader("Authorization", "Bearer " + LocalFleet.KEY)
        .withHeader("X-Work-Class", "summary");
  }

  @Test
  public void shouldStreamWholeAnswer() {
    String prompt = "streamed";
    HttpResponse reply =
        send(post("/v1/completions", "{\"prompt\":\"" + prompt + "\",\"stream\":true}"));
    assertThat(reply.header("Content-Type")).contains("text/event-stream");
    assertThat(reply.text()).endsWith("data: [DONE]\n\n");
    int tokens = reply.text().split("\"finish_reason\":null").length - 1;
    assertThat(tokens).isEqualTo(ExpectedAnswer.length(prompt));
  }

  @Test
  public void shouldEndEveryOfManyStreamsWithTheLastEvent() {
    List<CompletableFuture<HttpResponse>> replies = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      String body = "{\"prompt\":\"stream " + i + " [tokens=3]\",\"stream\":true}";
      HttpRequest call = post("/v1/completions", body).withHeader("X-Work-Class", "briefing");
      replies.add(fleet.client().send(call, Duration.ofSeconds(60)));
    }
    for (CompletableFuture<HttpResponse> reply : replies) {
      assertThat(reply.join().text()).endsWith("data: [DONE]\n\n");
    }
  }

  @Test
  public void shouldAnswerChat() {
    String body = "{\"messages\":[{\"role\":\"user\",\"content\":\"chart\"}]}";
    HttpResponse reply = send(post("/v1/chat/completions", body));
    assertThat(reply.text()).contains("\"role\":\"assistant\"");
    assertThat(reply.text()).contains(ExpectedAnswer.text("chart").trim());
  }

  @DataProvider
  static Object[][] badRequests() {
    String ok = "{\"prompt\":\"x\"}";
    return new Object[][] {
      {"/v1/completions", "{oops", 400, "bad-json"},
      {"/v1/completions", "[1]", 400, "bad-json"},
      {"/v1/completions", "{}", 400, "bad-json"},
      {"/v1/completions", "{\"prompt\":\"x\",\"max_tokens\":-1}", 400, "bad-json"},
      {"/v1/completions", "{\"prompt\":\"x\",\"model\":\"other\"}", 404, "unknown-model"},
      {"/v1/completions", "x".repeat(2 << 20), 413, "body-too-long"},
      {"/services/defects/record", ok, 404, "unknown-service"},
      {"/nowhere", ok, 404, "unknown-path"},
    };
  }

  @Test(dataProvider = "badRequests")
  public void shouldAnswerBadRequestWithTypedProblem(
      String path, String body, int status, String type) {
    HttpResponse reply = send(post(path, body));
    assertThat(reply.status()).isEqualTo(status);
    assertThat(reply.header("Content-Type")).contains("application/problem+json");
    assertThat(reply.text()).contains("\"title\":\"" + type + "\"", "\"run\":\"not-run\"");
  }

  @DataProvider
  static Object[][] badHeaders() {
    return new Object[][] {
      {"Authorization", "Bearer nobody", "unknown-key"},
      {"Authorization", "Basic x", "unknown-key"},
      {"X-Work-Class", "none", "unknown-class"},
      {"X-Cost-Hint", "-3", "bad-header"},
    };
  }

  @Test(dataProvider = "badHeaders")
  public void shouldAnswerBadHeaderWithTypedProblem(String name, String value, String type) {
    HttpRequest call = post("/v1/completions", "{\"prompt\":\"x\"}").withHeader(name, value);
    assertThat(send(call).text()).contains("\"title\":\"" + type + "\"", "Send");
  }

  @Test
  public void shouldRunCallOnceForOneKeyThroughAllRouters() {
    Result first = fleet.record(0, "once");
    Result second = fleet.record(1, "once");
    assertThat(first.outcome()).isEqualTo(Outcome.WHOLE);
    fleet.await(() -> fleet.record(2, "once").outcome() == Outcome.WHOLE);
    assertThat(second.outcome()).isIn(Outcome.WHOLE, Outcome.PROBLEM);
    assertThat(fleet.journal("recorded").stream().filter(e -> e.text("key").equals("once")))
        .hasSize(1);
  }

  @Test
  public void shouldRefuseCallWithoutKey() {
    HttpRequest call =
        HttpRequest.post(fleet.callers(0), "/services/defects/record", "{}")
            .withHeader("Authorization", "Bearer " + LocalFleet.KEY)
            .withHeader("X-Work-Class", "record");
    assertThat(send(call).text()).contains("idempotency-key-required");
  }

  @Test
  public void shouldStayUpUnderDamagedRequests() {
    SplittableRandom random = new SplittableRandom(17);
    String[] paths = {"/v1/completions", "/v1/upstreams/announce", "/services/defects/x", "/"};
    for (int round = 0; round < 300; round++) {
      byte[] bytes = new byte[random.nextInt(200)];
      for (int i = 0; i < bytes.length; i++) {
        bytes[i] = (byte) (32 + random.nextInt(95));
      }
      String body = new String(bytes, StandardCharsets.US_ASCII);
      HttpResponse reply = send(post(paths[random.nextInt(paths.length)], "{" + body));
      assertThat(reply.status()).as("round %d", round).isBetween(400, 499);
      assertThat(reply.text()).as("round %d", round).contains("\"title\"").doesNotContain("\tat ");
    }
    assertThat(fleet.ask(0, "still here").outcome()).isEqualTo(Outcome.WHOLE);
  }

  @DataProvider
  static Object[][] probes() {
    return new Object[][] {{"/healthz", "ok"}, {"/readyz", "ready"}, {"/metrics", "toucansaddle_"}};
  }

  @Test(dataProvider = "probes")
  public void shouldAnswerThePlatform(String path, String expected) {
    HttpResponse reply = send(HttpRequest.get(fleet.callers(2), path));
    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.text()).contains(expected);
  }
}
