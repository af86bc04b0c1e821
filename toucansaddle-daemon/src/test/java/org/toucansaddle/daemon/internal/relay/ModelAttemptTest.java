package org.toucansaddle.daemon.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpException;
import org.toucansaddle.http.HttpExchange;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.http.HttpStreamHandler;

/** What an attempt makes of an upstream's answer. */
public class ModelAttemptTest {

  private static final String TOKEN =
      "data: {\"choices\":[{\"text\":\"a \",\"finish_reason\":null}]}\n\n";
  private static final String LAST =
      "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"
          + "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n";
  private static final String DONE = "data: [DONE]\n\n";

  private List<String> parts;
  private List<AttemptOutcome> outcomes;

  @BeforeMethod
  public void reset() {
    parts = new ArrayList<>();
    outcomes = new ArrayList<>();
  }

  private ModelAttempt attempt(int offset) {
    UpstreamSlots upstream = new UpstreamSlots("u", 1, "127.0.0.1:1", "zone-a", 1, false);
    return new ModelAttempt(
        "req.1",
        upstream,
        offset,
        0,
        new ModelAttempt.Listener() {
          @Override
          public void onParts(ModelAttempt a, List<AnswerPart> arrived) {
            arrived.forEach(part -> parts.add(part.text()));
          }

          @Override
          public void onEnded(
              ModelAttempt a, AttemptOutcome outcome, boolean written, AnswerUsage usage) {
            outcomes.add(outcome);
          }
        });
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String event(String id, String data) {
    return "id: " + id + "\n" + data;
  }

  @DataProvider
  static Object[][] answers() {
    String first = event("req.1:0", TOKEN);
    String second = event("req.1:1", TOKEN);
    String last = event("req.1:2", LAST);
    return new Object[][] {
      {"whole answer", first + second + last + DONE, AttemptOutcome.WHOLE, 3},
      {"other attempt's event", first + event("req.2:1", TOKEN), AttemptOutcome.WRONG_ANSWER, 1},
      {"event left out", first + event("req.1:2", TOKEN), AttemptOutcome.WRONG_ANSWER, 1},
      {"event repeated", first + first, AttemptOutcome.WRONG_ANSWER, 1},
      {"end without finish reason", first + DONE, AttemptOutcome.WRONG_ANSWER, 1},
      {"not JSON", event("req.1:0", "data: {oops\n\n"), AttemptOutcome.WRONG_ANSWER, 0},
      {"end in mid-answer", first, AttemptOutcome.BROKEN, 1},
    };
  }

  @Test(dataProvider = "answers")
  public void shouldJudgeAnswer(String name, String body, AttemptOutcome expected, int count) {
    ModelAttempt attempt = attempt(0);
    attempt.onHead(200, Map.of("X-Attempt-Id", "req.1"));
    attempt.onData(bytes(body));
    attempt.onEnd();
    assertThat(outcomes).as(name).containsExactly(expected);
    assertThat(parts).as(name).hasSize(count);
  }

  @DataProvider
  static Object[][] heads() {
    return new Object[][] {
      {200, "req.9", AttemptOutcome.WRONG_ANSWER},
      {503, "req.1", AttemptOutcome.REFUSED},
      {500, "req.1", AttemptOutcome.REFUSED},
    };
  }

  @Test(dataProvider = "heads")
  public void shouldJudgeHead(int status, String id, AttemptOutcome expected) {
    ModelAttempt attempt = attempt(0);
    attempt.onHead(status, Map.of("X-Attempt-Id", id));
    assertThat(outcomes).containsExactly(expected);
  }

  @Test
  public void shouldContinueAtItsOffset() {
    ModelAttempt attempt = attempt(7);
    attempt.onHead(200, Map.of("X-Attempt-Id", "req.1"));
    attempt.onData(bytes(event("req.1:7", TOKEN)));
    assertThat(parts).containsExactly("a ");
    assertThat(outcomes).isEmpty();
  }

  @DataProvider
  static Object[][] failures() {
    return new Object[][] {
      {HttpException.Kind.CONNECT, AttemptOutcome.NOT_CONNECTED},
      {HttpException.Kind.BROKEN, AttemptOutcome.BROKEN},
    };
  }

  @Test(dataProvider = "failures")
  public void shouldJudgeFailure(HttpException.Kind kind, AttemptOutcome expected) {
    attempt(0).onFailure(new HttpException(kind, kind != HttpException.Kind.CONNECT, "x", null));
    assertThat(outcomes).containsExactly(expected);
  }

  @Test
  public void shouldEndOnceForAnyBytesInAnyPieces() {
    SplittableRandom random = new SplittableRandom(9);
    String whole =
        event("req.1:0", TOKEN) + event("req.1:1", TOKEN) + event("req.1:2", LAST) + DONE;
    for (int round = 0; round < 2_000; round++) {
      reset();
      byte[] body = whole.getBytes(StandardCharsets.UTF_8);
      boolean damaged = random.nextBoolean();
      if (damaged) {
        body[random.nextInt(body.length)] = (byte) random.nextInt();
      }
      ModelAttempt attempt = attempt(0);
      attempt.onHead(200, Map.of("X-Attempt-Id", "req.1"));
      for (int at = 0; at < body.length; ) {
        int length = Math.min(body.length - at, 1 + random.nextInt(40));
        attempt.onData(ByteBuffer.wrap(body, at, length));
        at += length;
      }
      attempt.onEnd();
      assertThat(outcomes).as("round %d", round).hasSize(1);
      if (!damaged) {
        assertThat(outcomes).containsExactly(AttemptOutcome.WHOLE);
      }
    }
  }

  @DataProvider
  static Object[][] retries() {
    return new Object[][] {{false}, {true}};
  }

  @Test(dataProvider = "retries")
  public void shouldRetryOnAConnectionThatCarriedNothing(boolean retry) {
    RecordingClient client = new RecordingClient();
    attempt(0).send(client, "/v1/completions", "{}", retry);
    assertThat(client.calls).hasSize(1);
    assertThat(client.calls.get(0).newConnection()).isEqualTo(retry);
  }

  @Test
  public void shouldSendNothingAfterItWasGivenUp() {
    RecordingClient client = new RecordingClient();
    ModelAttempt attempt = attempt(0);
    attempt.cancel(AttemptOutcome.CANCELLED);
    attempt.send(client, "/v1/completions", "{}", false);
    assertThat(client.calls).isEmpty();
  }

  /** Keeps what it is asked to send. */
  private static final class RecordingClient implements HttpClient {
    private final List<HttpRequest> calls = new ArrayList<>();

    @Override
    public CompletableFuture<HttpResponse> send(HttpRequest call, Duration timeout) {
      throw new UnsupportedOperationException("an attempt streams");
    }

    @Override
    public HttpExchange stream(HttpRequest call, HttpStreamHandler handler) {
      calls.add(call);
      return () -> {};
    }

    @Override
    public void closeIdleConnections(String target) {}

    @Override
    public void close() {}
  }
}
