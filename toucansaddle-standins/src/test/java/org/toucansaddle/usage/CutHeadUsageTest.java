package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of upstreams that stop in the middle of the head of an answer.
 *
 * <p>A path {@code /ROUTE/FRAMING/END/BYTES} names how the answer is framed, how its connection
 * ends and after how many bytes.
 */
public class CutHeadUsageTest extends ScriptedGatewayFixture {

  private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  private final Set<String> answered = ConcurrentHashMap.newKeySet();

  public CutHeadUsageTest() {
    super(4);
  }

  @Override
  boolean isServing() {
    return get("/once/length/close/10000").status() == 200;
  }

  /** Returns a response with status 0 if the connection ended without one. */
  private RawResponse get(String path) {
    try {
      return RawCaller.get(gateway().callerAddress(0), path, "1.1");
    } catch (IOException e) {
      return new RawResponse(0, Map.of(), "", false);
    }
  }

  private static String head(String framing, String requestId) {
    String fields =
        switch (framing) {
          case "length" -> "Content-Length: " + EVENTS.length() + "\r\n";
          case "chunks" -> "Transfer-Encoding: chunked\r\n";
          default -> "";
        };
    return "HTTP/1.1 200 OK\r\nX-Answer-Seal: seal\r\nX-Request-Id: "
        + requestId
        + "\r\nContent-Type: text/event-stream\r\n"
        + fields
        + "\r\n";
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    String[] path = exchange.path().split("/");
    answered.add(exchange.path());
    String answer = head(path[2], exchange.header("X-Request-Id")) + EVENTS;
    exchange.write(answer.substring(0, Math.min(answer.length(), Integer.parseInt(path[4]))));
    if (path[3].equals("reset")) {
      exchange.resetAfterDelivery();
    } else if (Integer.parseInt(path[4]) < answer.length()) {
      exchange.close();
    }
  }

  @DataProvider
  public Object[][] cutHeads() {
    List<Object[]> cases = new ArrayList<>();
    for (String route : List.of("once", "repeatable", "stream-once", "stream")) {
      for (String framing : List.of("length", "chunks", "connection")) {
        for (String end : List.of("close", "reset")) {
          cases.add(new Object[] {"/" + route + "/" + framing + "/" + end, framing});
        }
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /**
   * Guards against an answer that stopped within its head and reaches the caller as a whole 200
   * with an empty or short body.
   */
  @Test(dataProvider = "cutHeads")
  public void shouldNotEndAnswerAsCompleteThatStoppedWithinItsHead(String path, String framing) {
    int length = head(framing, "r" + path.hashCode()).length();
    for (int bytes = 1; bytes < length - 10; bytes += 7) {
      String cut = path + "/" + bytes;
      RawResponse response = get(cut);
      assertThat(response.status() == 200 && response.complete())
          .as("%s: %s", cut, response)
          .isFalse();
      assertThat(answered).as("requests that an upstream answered").contains(cut);
    }
  }
}
