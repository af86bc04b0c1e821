package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of callers that read nothing for a while. */
public class SlowCallerUsageTest extends ScriptedGatewayFixture {

  private static final int EVENTS = 400;
  private static final int EVENT_BYTES = 50_000;
  private static final String DATA = "x".repeat(EVENT_BYTES);
  private static final int PAUSE_MILLIS = 2_500;

  private final AtomicInteger runs = new AtomicInteger();

  public SlowCallerUsageTest() {
    super(2);
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    if (exchange.path().startsWith("/once/")) {
      exchange.writeAnswer(200, "answer");
      return;
    }
    runs.incrementAndGet();
    String lastEventId = exchange.header("Last-Event-Id");
    int sentBefore = lastEventId.isEmpty() ? 0 : Integer.parseInt(lastEventId);
    exchange.writeHead(200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream");
    for (int event = sentBefore + 1; event <= EVENTS; event++) {
      exchange.writeChunk("id: " + event + "\ndata: " + DATA + "\n\n");
    }
    exchange.writeChunk("");
  }

  @DataProvider
  public Object[][] routes() {
    return new Object[][] {{"stream-once"}, {"stream"}};
  }

  /** Guards against a slow caller whose backpressure counts as silence of the upstream. */
  @Test(dataProvider = "routes")
  public void shouldCompleteStreamWhoseCallerPausesReading(String route) throws Exception {
    runs.set(0);
    try (KeptConnection connection = new KeptConnection(gateway().callerAddress(0))) {
      connection.send(KeptConnection.get("/" + route + "/x", "r-" + route));
      Thread.sleep(PAUSE_MILLIS);
      RawResponse response = connection.receive();
      assertThat(response.complete()).as("complete").isTrue();
      assertThat(response.body().length()).isGreaterThan(EVENTS * EVENT_BYTES);
    }
    assertThat(runs).as("upstreams that ran the request").hasValue(1);
  }
}
