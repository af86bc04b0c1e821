package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of upstreams that answer a long request before they have read it, and reset the
 * connection within the answer.
 *
 * <p>A path {@code /ROUTE/FRAMING/BYTES/DELAY/NUMBER} names the framing, the size of the part that
 * is sent, and the milliseconds until the reset.
 */
public class EarlyAnswerUsageTest extends ScriptedGatewayFixture {

  private static final int SMALL_BUFFER_BYTES = 4 << 10;
  private static final int LONG_BODY_BYTES = 4_000_000;

  /** More than a caller that does not read takes, so that the router stops reading. */
  private static final int LONG_PART_BYTES = 12_000_000;

  private static final int READER_PAUSE_MILLIS = 1_500;

  private final AtomicInteger requests = new AtomicInteger();

  public EarlyAnswerUsageTest() {
    super(4);
  }

  @BeforeClass
  public void answerBeforeBody() {
    upstreams().answerBeforeBody();
  }

  @Override
  boolean isServing() {
    return isServing("/once/whole");
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    String[] path = exchange.path().split("/");
    if (path[2].equals("whole")) {
      exchange.writeAnswer(200, "whole");
      return;
    }
    int bytes = Integer.parseInt(path[3]);
    int delayMillis = Integer.parseInt(path[4]);
    String event = "data: " + "x".repeat(1_000) + "\n\n";
    String part = event.repeat(Math.max(1, bytes / event.length()));
    switch (path[2]) {
      case "length" -> exchange.writeHead(200, "Content-Length: " + (part.length() + 7));
      case "chunks" -> exchange.writeHead(200, "Transfer-Encoding: chunked");
      default -> exchange.writeHead(200);
    }
    Thread writer =
        new Thread(
            () -> {
              try {
                if (path[2].equals("chunks")) {
                  exchange.writeChunk(part);
                } else {
                  exchange.write(part);
                }
              } catch (IOException e) {
                // The connection was reset while the router did not read.
                return;
              }
            });
    writer.start();
    exchange.reset(delayMillis);
  }

  /** Sends a long request, pauses, and reads the response. */
  private RawResponse post(String path, int bodyBytes, int pauseMillis) throws Exception {
    String unique = path + "/" + requests.incrementAndGet();
    String address = gateway().callerAddress(0);
    try (KeptConnection connection = new KeptConnection(address, SMALL_BUFFER_BYTES)) {
      connection.send(KeptConnection.postHead(unique, "r" + unique.hashCode(), bodyBytes));
      connection.send("x".repeat(bodyBytes));
      Thread.sleep(pauseMillis);
      return connection.receive();
    }
  }

  @DataProvider
  public Object[][] parts() {
    List<Object[]> cases = new ArrayList<>();
    for (String route : List.of("once", "repeatable", "stream-once", "stream")) {
      for (String framing : List.of("connection", "length", "chunks")) {
        cases.add(new Object[] {"/" + route + "/" + framing});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** Guards against a part of an answer that is complete for its caller, at any time of a reset. */
  @Test(dataProvider = "parts")
  public void shouldNotEndPartOfAnswerAsCompleteWhenResetDuringTheRequest(String path)
      throws Exception {
    for (int delayMillis : List.of(0, 1, 5, 20, 100)) {
      for (int bytes : List.of(1, 100_000)) {
        RawResponse response = post(path + "/" + bytes + "/" + delayMillis, LONG_BODY_BYTES, 0);
        assertThat(response.complete() && response.status() < 400)
            .as("%s, %d bytes, %d ms: %s", path, bytes, delayMillis, response.headers())
            .isFalse();
      }
    }
  }

  /**
   * Guards against a part of an answer that is complete for a caller that reads slowly: the router
   * does not read either, so that the write of the request takes the error of the connection.
   */
  @Test(dataProvider = "parts")
  public void shouldNotEndPartOfAnswerAsCompleteWhenResetWhileTheCallerPauses(String path)
      throws Exception {
    RawResponse response =
        post(path + "/" + LONG_PART_BYTES + "/700", LONG_BODY_BYTES, READER_PAUSE_MILLIS);
    assertThat(response.complete() && response.status() < 400)
        .as("%s: %s", path, response.headers())
        .isFalse();
  }
}
