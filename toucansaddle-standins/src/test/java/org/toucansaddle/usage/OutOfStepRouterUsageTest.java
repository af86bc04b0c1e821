package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of streams that callers take up at a router which stood still, or was cut off from
 * the control daemons, while upstreams of a new software version joined.
 */
public class OutOfStepRouterUsageTest {

  private static final int MAX_DESCRIPTORS = 4_096;
  private static final int EVENTS = 4;

  /** Events of the first response, after which the caller leaves. */
  private static final int FIRST_EVENTS = 2;

  /** Time after which control daemons close the stream of a router that is silent. */
  private static final int SILENCE_MILLIS = 3_500;

  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;
  private RouterProcess outOfStep;

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, OutOfStepRouterUsageTest::answer);
    upstreams.start("first", "desk", "v1");
    outOfStep = RouterProcess.startWithDescriptors(gateway, MAX_DESCRIPTORS);
    LocalGateway.await(() -> serves(gateway.callerAddress(0), "v1"));
    LocalGateway.await(() -> serves(outOfStep.callerAddress(), "v1"));
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    outOfStep.close();
    upstreams.close();
    gateway.close();
  }

  private static void answer(Exchange exchange) throws IOException {
    String lastReceived = exchange.header("Last-Event-Id");
    int first = lastReceived.isEmpty() ? 1 : Integer.parseInt(lastReceived) + 1;
    boolean stops = exchange.header("X-Request-Id").startsWith("begun");
    int last = stops ? FIRST_EVENTS : EVENTS;
    exchange.writeHead(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked");
    exchange.writeChunk(events(exchange.softwareVersion(), first, last));
    if (stops) {
      exchange.awaitClosed();
    } else {
      exchange.writeChunk("");
    }
  }

  private static String events(String version, int first, int last) {
    StringBuilder text = new StringBuilder();
    for (int id = first; id <= last; id++) {
      text.append("id: " + id + "\ndata: " + version + "\n\n");
    }
    return text.toString();
  }

  private static StreamCaller open(String address, String request, Map<String, String> fields)
      throws IOException {
    Map<String, String> all = new HashMap<>(fields);
    all.put("X-Request-Id", request);
    return new StreamCaller(address, "/stream/x", all);
  }

  private static boolean serves(String address, String version) {
    try (StreamCaller caller = open(address, "probe", Map.of())) {
      caller.readToEnd();
      return caller.body().equals(events(version, 1, EVENTS));
    } catch (IOException e) {
      return false;
    }
  }

  /** Begins a stream at the second version through another router, and leaves it. */
  private String beginAtSecondVersion() throws Exception {
    upstreams.start("second", "desk", "v2");
    LocalGateway.await(() -> serves(gateway.callerAddress(0), "v2"));
    for (int i = 0; ; i++) {
      String request = "begun" + i;
      try (StreamCaller caller = open(gateway.callerAddress(0), request, Map.of())) {
        caller.readEvent(FIRST_EVENTS);
        if (caller.body().contains("v2")) {
          return request;
        }
      }
    }
  }

  private static Map<String, String> fieldsOfReturn(String begun, boolean isNamed) {
    String lastEvent = Integer.toString(FIRST_EVENTS);
    return isNamed
        ? Map.of("Last-Event-Id", lastEvent, "X-Resumes", begun)
        : Map.of("Last-Event-Id", lastEvent);
  }

  @DataProvider
  public Object[][] returns() {
    return new Object[][] {
      // whether the caller names the stream, whether control daemons can be reached
      {true, true}, {true, false}, {false, true}, {false, false},
    };
  }

  /** Guards against a stream that goes on at the only version that a router out of step knows. */
  @Test(dataProvider = "returns")
  public void shouldNotGoOnAtAnotherVersionAtRouterOutOfStep(boolean isNamed, boolean isConnected)
      throws Exception {
    outOfStep.signal("STOP");
    LocalFleet.sleep(SILENCE_MILLIS);
    String begun = beginAtSecondVersion();
    if (!isConnected) {
      gateway.closeControls();
    }
    outOfStep.signal("CONT");
    try (StreamCaller caller =
        open(outOfStep.callerAddress(), "return", fieldsOfReturn(begun, isNamed))) {
      caller.readToEnd();
      // The router may have caught up, and then knows where a stream began that is named.
      boolean goesOn = isNamed && caller.body().equals(events("v2", FIRST_EVENTS + 1, EVENTS));
      if (!goesOn) {
        assertThat(caller.status()).as(caller.body()).isEqualTo(503);
        assertThat(caller.body()).contains("\"run\":\"not-run\"");
      }
    }
  }
}
