package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of a stream that breaks off after three of six events, and of what the next upstream
 * answers.
 *
 * <p>A path {@code /stream/CASE/NUMBER} names what the next upstream answers.
 */
public class ResumedStreamUsageTest extends ScriptedGatewayFixture {

  private static final String EVENT_STREAM = "Content-Type: text/event-stream";
  private static final String FIRST_EVENTS =
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  private static final String LAST_EVENTS =
      "id: 4\ndata: d\n\nid: 5\ndata: e\n\nid: 6\ndata: f\n\n";
  private static final String ERROR_TEXT = "upstream failure\n\n";

  /** Answers of a status, with a type and a body of a length. Immutable. */
  private record Answer(int status, String type, String body) {}

  /** Parts of an answer that may break the grammar. Immutable. */
  private record BrokenAnswer(String status, String fields, String content) {

    String bytes(String requestId) {
      String own = EVENT_STREAM + "\r\nX-Answer-Seal: seal\r\nX-Request-Id: " + requestId;
      return "HTTP/1.1 " + status + "\r\n" + own + "\r\n" + fields + "\r\n\r\n" + content;
    }
  }

  private static final Map<String, Answer> FAILURES =
      Map.ofEntries(
          Map.entry("text", new Answer(200, "Content-Type: text/plain", ERROR_TEXT)),
          Map.entry("html", new Answer(200, "Content-Type: text/html", "<p>failure</p>\n\n")),
          Map.entry("json", new Answer(200, "Content-Type: application/json", "{\"a\":1}\n\n")),
          Map.entry("similar", new Answer(200, EVENT_STREAM + "-2", LAST_EVENTS)),
          Map.entry("no-type", new Answer(200, "X-Other: 1", ERROR_TEXT)),
          Map.entry("text-as-events", new Answer(200, EVENT_STREAM, ERROR_TEXT)),
          Map.entry("unnumbered", new Answer(200, EVENT_STREAM, "data: failure\n\n")),
          Map.entry("bad-id", new Answer(200, EVENT_STREAM, "id: x\ndata: failure\n\n")),
          Map.entry("empty", new Answer(200, EVENT_STREAM, "")),
          Map.entry("comment", new Answer(200, EVENT_STREAM, ": failure\n\n")),
          Map.entry("again-only", new Answer(200, EVENT_STREAM, FIRST_EVENTS)),
          Map.entry("no-content", new Answer(204, "X-Other: 1", "")),
          Map.entry("reset-content", new Answer(205, "X-Other: 1", "")),
          Map.entry("partial", new Answer(206, "Content-Type: text/plain", ERROR_TEXT)),
          Map.entry("moved", new Answer(302, "Location: /", ERROR_TEXT)),
          Map.entry("missing", new Answer(404, EVENT_STREAM, ERROR_TEXT)),
          Map.entry("failed", new Answer(500, EVENT_STREAM, "id: 4\ndata: failure\n\n")),
          Map.entry("full", new Answer(503, "X-Not-Run: 1", ERROR_TEXT)));

  private static final String LENGTH = "Content-Length: " + LAST_EVENTS.length();
  private static final String CHUNKED = "Transfer-Encoding: chunked";

  /** Answers that are no valid HTTP responses. */
  private static final Map<String, BrokenAnswer> BROKEN_ANSWERS =
      Map.ofEntries(
          Map.entry("status-000", new BrokenAnswer("000 Status", LENGTH, LAST_EVENTS)),
          Map.entry("status-999", new BrokenAnswer("999 Status", LENGTH, LAST_EVENTS)),
          Map.entry("bad-length", new BrokenAnswer("200 OK", LENGTH + "x", LAST_EVENTS)),
          Map.entry("two-lengths", new BrokenAnswer("200 OK", LENGTH + ", 5", LAST_EVENTS)),
          Map.entry("no-field", new BrokenAnswer("200 OK", "no field\r\n" + LENGTH, LAST_EVENTS)),
          Map.entry("bad-name", new BrokenAnswer("200 OK", "X\u0001: a\r\n" + LENGTH, LAST_EVENTS)),
          Map.entry(
              "bad-coding", new BrokenAnswer("200 OK", "Transfer-Encoding: chunke", LAST_EVENTS)),
          Map.entry("bad-chunk", new BrokenAnswer("200 OK", CHUNKED, "zz\r\n")));

  private static final Map<String, Answer> CONTINUATIONS =
      Map.of(
          "next", new Answer(200, EVENT_STREAM, LAST_EVENTS),
          "charset", new Answer(200, EVENT_STREAM + "; charset=utf-8", LAST_EVENTS),
          "again", new Answer(200, EVENT_STREAM, FIRST_EVENTS + LAST_EVENTS),
          "comments", new Answer(200, EVENT_STREAM, ": resumed\n\n" + LAST_EVENTS),
          "fields", new Answer(200, EVENT_STREAM, "x-weights: 2\n" + LAST_EVENTS));

  private final AtomicInteger requests = new AtomicInteger();

  public ResumedStreamUsageTest() {
    super(6);
  }

  @Override
  boolean isServing() {
    return get("next").complete();
  }

  private RawResponse get(String answer) {
    String path = "/stream/" + answer + "/" + requests.incrementAndGet();
    try {
      return RawCaller.get(gateway().callerAddress(0), path, "1.1");
    } catch (IOException e) {
      throw new AssertionError("no response to " + path, e);
    }
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    String name = exchange.path().split("/")[2];
    if (exchange.header("Last-Event-Id").isEmpty()) {
      exchange.writeHead(200, EVENT_STREAM, CHUNKED);
      exchange.writeChunk(name.equals("unnumbered-before") ? "data: a\n\n" : FIRST_EVENTS);
      exchange.resetAfterDelivery();
    } else if (name.equals("no-answer")) {
      exchange.write("upstream failure\r\n\r\n");
      exchange.close();
    } else if (name.equals("unsealed")) {
      exchange.write(
          "HTTP/1.1 200 OK\r\n" + EVENT_STREAM + "\r\nContent-Length: " + LAST_EVENTS.length());
      exchange.write("\r\n\r\n" + LAST_EVENTS);
    } else if (BROKEN_ANSWERS.containsKey(name)) {
      exchange.write(BROKEN_ANSWERS.get(name).bytes(exchange.header("X-Request-Id")));
    } else {
      Answer answer = FAILURES.getOrDefault(name, CONTINUATIONS.get(name));
      exchange.writeHead(
          answer.status(), answer.type(), "Content-Length: " + answer.body().length());
      exchange.write(answer.body());
    }
  }

  @DataProvider
  public Object[][] failures() {
    return Stream.of(FAILURES.keySet(), BROKEN_ANSWERS.keySet(), Set.of("no-answer", "unsealed"))
        .flatMap(names -> names.stream().sorted())
        .map(name -> new Object[] {name})
        .toArray(Object[][]::new);
  }

  /** Guards against an error in the middle of a stream, or one that ends it as if complete. */
  @Test(dataProvider = "failures")
  public void shouldCutStreamThatNextUpstreamDoesNotContinue(String failure) {
    RawResponse response = get(failure);
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.body()).isEqualTo(FIRST_EVENTS);
    assertThat(response.complete()).isFalse();
  }

  @DataProvider
  public Object[][] continuations() {
    return CONTINUATIONS.keySet().stream()
        .sorted()
        .map(name -> new Object[] {name})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "continuations")
  public void shouldContinueStreamWithNumberedEvents(String continuation) {
    RawResponse response = get(continuation);
    assertThat(response.complete()).as("complete: %s", response).isTrue();
    assertThat(response.body().replace("x-weights: 2\n", "")).isEqualTo(FIRST_EVENTS + LAST_EVENTS);
  }

  /** Guards against a stream without ids that begins once more in the same response. */
  @Test
  public void shouldCutStreamWhoseEventsHaveNoIds() {
    RawResponse response = get("unnumbered-before");
    assertThat(response.body()).isEqualTo("data: a\n\n");
    assertThat(response.complete()).isFalse();
  }
}
