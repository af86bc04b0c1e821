package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of event streams that end within an event, although their framing is complete.
 *
 * <p>A path {@code /ROUTE/FRAMING/END/CONTENT} names the framing, end and content of the answer.
 */
public class TruncatedStreamUsageTest extends ScriptedGatewayFixture {

  private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  private static final String LAST_EVENT = "id: 3\ndata: c\n\n";
  private static final String ALL_EVENTS = FIRST_EVENTS + LAST_EVENT;
  private static final String TRUNCATED_EVENTS = FIRST_EVENTS + "id: 3\nda";

  /** How an upstream marks the length of an answer. */
  private enum Framing {
    LENGTH,
    CHUNKS,
    CONNECTION
  }

  /** How an upstream ends an answer. */
  private enum End {
    /** As the framing demands. */
    PROPER,
    CLOSED_EARLY,
    RESET
  }

  private final AtomicInteger requests = new AtomicInteger();

  public TruncatedStreamUsageTest() {
    super(4);
  }

  @Override
  boolean isServing() {
    return get("/once/LENGTH/PROPER/whole").status() == 200;
  }

  private RawResponse get(String path) {
    return get(path, "1.1");
  }

  /** Sends a request that is equal to no other, so that no other adds to its strikes. */
  private RawResponse getUnique(String path, String httpVersion) {
    return get(path + "/" + requests.incrementAndGet(), httpVersion);
  }

  private RawResponse getUnique(String path) {
    return getUnique(path, "1.1");
  }

  private RawResponse get(String path, String httpVersion) {
    try {
      return RawCaller.get(gateway().callerAddress(0), path, httpVersion);
    } catch (IOException e) {
      throw new AssertionError("no response to " + path, e);
    }
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    String[] path = exchange.path().split("/");
    if (exchange.header("Last-Event-Id").equals("2")) {
      exchange.writeAnswer(200, LAST_EVENT);
      return;
    }
    String content =
        switch (path[4]) {
          case "truncated" -> TRUNCATED_EVENTS;
          case "empty" -> "";
          case "error" -> "{\"error\":\"unavailable\"}";
          default -> ALL_EVENTS;
        };
    int status = path[4].equals("error") ? 500 : 200;
    End end = End.valueOf(path[3]);
    switch (Framing.valueOf(path[2])) {
      case LENGTH -> {
        int missing = end == End.PROPER ? 0 : 7;
        exchange.writeHead(status, "Content-Length: " + (content.length() + missing));
        exchange.write(content);
      }
      case CHUNKS -> {
        exchange.writeHead(status, "Transfer-Encoding: chunked");
        exchange.writeChunk(content);
        if (end == End.PROPER) {
          exchange.writeChunk("");
        }
      }
      case CONNECTION -> {
        exchange.writeHead(status);
        exchange.write(content);
      }
      default -> throw new AssertionError(exchange.path());
    }
    if (end == End.RESET) {
      exchange.resetAfterDelivery();
    } else if (end == End.CLOSED_EARLY || path[2].equals(Framing.CONNECTION.name())) {
      exchange.close();
    }
  }

  @DataProvider
  public Object[][] framingsAndEnds() {
    List<Object[]> cases = new ArrayList<>();
    for (Framing framing : Framing.values()) {
      for (End end : End.values()) {
        boolean sameAsProper = framing == Framing.CONNECTION && end == End.CLOSED_EARLY;
        if (!sameAsProper) {
          cases.add(new Object[] {framing, end});
        }
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** Guards against a truncated stream that reaches its caller as if it were complete. */
  @Test(dataProvider = "framingsAndEnds")
  public void shouldNotEndStreamAsCompleteThatStoppedWithinAnEvent(Framing framing, End end) {
    String path = "/stream-once/" + framing + "/" + end + "/truncated";
    RawResponse response = getUnique(path);
    assertThat(response.complete()).as("complete: %s", response).isFalse();
    assertThat(ALL_EVENTS).startsWith(response.body());
  }

  /** Guards against a resumable stream that ends within an event instead of being resumed. */
  @Test(dataProvider = "framingsAndEnds")
  public void shouldResumeStreamThatStoppedWithinAnEvent(Framing framing, End end) {
    RawResponse response = getUnique("/stream/" + framing + "/" + end + "/truncated");
    assertThat(response.complete()).as("complete: %s", response).isTrue();
    assertThat(response.body()).isEqualTo(ALL_EVENTS);
  }

  /**
   * Guards against a truncated stream without length that an HTTP/1.0 caller takes for complete.
   */
  @Test(dataProvider = "framingsAndEnds")
  public void shouldResetConnectionOfHttp10CallerOfTruncatedStream(Framing framing, End end) {
    String path = "/stream-once/" + framing + "/" + end + "/truncated";
    RawResponse response = getUnique(path, "1.0");
    assertThat(response.complete()).as("complete: %s", response).isFalse();
  }

  @DataProvider
  public Object[][] completeAnswers() {
    List<Object[]> cases = new ArrayList<>();
    for (String route : List.of("once", "repeatable", "stream-once", "stream")) {
      for (Framing framing : Framing.values()) {
        for (String httpVersion : List.of("1.0", "1.1")) {
          cases.add(new Object[] {route, framing, httpVersion});
        }
      }
    }
    return cases.toArray(Object[][]::new);
  }

  @Test(dataProvider = "completeAnswers")
  public void shouldEndCompleteAnswerAsComplete(String route, Framing framing, String httpVersion) {
    RawResponse response = getUnique("/" + route + "/" + framing + "/PROPER/whole", httpVersion);
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.complete()).as("complete: %s", response).isTrue();
    assertThat(response.body()).isEqualTo(ALL_EVENTS);
  }

  /** Guards against an error without events that is taken for a truncated stream. */
  @Test
  public void shouldRelayErrorOfUpstreamOnRouteOfStreams() {
    for (String route : List.of("stream-once", "stream")) {
      RawResponse response = getUnique("/" + route + "/LENGTH/PROPER/error");
      assertThat(response.status()).isEqualTo(500);
      assertThat(response.complete()).isTrue();
      assertThat(response.body()).isEqualTo("{\"error\":\"unavailable\"}");
    }
  }

  /** Guards against a stream cut off before its first event that looks complete without events. */
  @Test
  public void shouldNotEndStreamAsCompleteWhoseConnectionEndedBeforeTheFirstEvent() {
    RawResponse response = getUnique("/stream-once/CONNECTION/PROPER/empty");
    assertThat(response.status()).isEqualTo(502);
    assertThat(response.body()).contains("\"run\":\"unknown\"");
    assertThat(response.headers()).doesNotContainKey("X-Answer-Seal");
  }

  /**
   * Guards against a truncated stream that counts as a success and clears the strikes of crashes.
   */
  @Test
  public void shouldQuarantineRequestWhoseStreamsStopWithinAnEventAtSeveralUpstreams()
      throws Exception {
    LocalGateway.await(
        () -> get("/stream-once/CONNECTION/PROPER/truncated").body().contains("quarantined"));
  }
}
