package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of requests whose callers leave while the upstream is silent. */
public class CancelledRequestUsageTest extends ScriptedGatewayFixture {

  /** Time within which an upstream must see that the caller has left. */
  private static final int MAX_NOTICE_MILLIS = 500;

  private static final int SILENCE_MILLIS = 4_000;

  private final Map<String, Long> arrivalTimes = new ConcurrentHashMap<>();
  private final Map<String, Long> closeTimes = new ConcurrentHashMap<>();

  public CancelledRequestUsageTest() {
    super(2);
  }

  @Override
  boolean isServing() {
    return isServing("/once/answer");
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    if (exchange.path().endsWith("/answer")) {
      exchange.writeAnswer(200, "ok");
      return;
    }
    if (exchange.path().endsWith("/after-event")) {
      exchange.writeHead(200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream");
      exchange.writeChunk("id: 1\ndata: a\n\n");
    }
    arrivalTimes.put(exchange.path(), System.nanoTime());
    try {
      exchange.pause(SILENCE_MILLIS);
    } catch (IOException e) {
      closeTimes.put(exchange.path(), System.nanoTime());
      throw e;
    }
  }

  @DataProvider(parallel = true)
  public Object[][] paths() {
    return new Object[][] {
      {"/once/silent"},
      {"/repeatable/silent"},
      {"/stream/silent"},
      {"/stream-once/silent"},
      {"/stream/after-event"},
      {"/stream-once/after-event"},
    };
  }

  /** Guards against an upstream that works on a request for seconds after its caller has left. */
  @Test(dataProvider = "paths")
  public void shouldCloseConnectionOfSilentUpstreamAtOnceWhenTheCallerLeaves(String path)
      throws Exception {
    long leftAt;
    String[] hostAndPort = gateway().callerAddress(0).split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      String head =
          "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r%d\r\nX-Api-Key: %s\r\n\r\n"
              .formatted(path, LocalGateway.HOST, path.hashCode(), LocalGateway.API_KEY);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      LocalGateway.await(() -> arrivalTimes.containsKey(path));
      leftAt = System.nanoTime();
    }
    LocalGateway.await(() -> closeTimes.containsKey(path));
    long noticeMillis = TimeUnit.NANOSECONDS.toMillis(closeTimes.get(path) - leftAt);
    assertThat(noticeMillis).isLessThan(MAX_NOTICE_MILLIS);
  }
}
