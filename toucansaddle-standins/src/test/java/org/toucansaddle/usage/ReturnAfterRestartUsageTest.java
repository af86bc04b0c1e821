package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of streams that callers take up again after all daemons of a gateway restarted. */
public class ReturnAfterRestartUsageTest {

  private static final String PATH = "/stream/x";
  private static final int EVENTS = 4;

  /** Events of the first response, after which the daemons restart. */
  private static final int FIRST_EVENTS = 2;

  /** Time after which all daemons have received and stored what they exchange. */
  private static final int SPREAD_MILLIS = 1_000;

  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, ReturnAfterRestartUsageTest::answer);
    upstreams.start("first", "desk", "v1");
    awaitVersion("v1");
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private static void answer(Exchange exchange) throws IOException {
    String lastReceived = exchange.header("Last-Event-Id");
    int first = lastReceived.isEmpty() ? 1 : Integer.parseInt(lastReceived) + 1;
    exchange.writeHead(200, "Transfer-Encoding: chunked");
    boolean stops = first == 1 && !exchange.header("X-Request-Id").equals("probe");
    int last = stops ? FIRST_EVENTS : EVENTS;
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

  private StreamCaller open(int router, String request, Map<String, String> fields)
      throws IOException {
    Map<String, String> all = new HashMap<>(fields);
    all.put("X-Request-Id", request);
    return new StreamCaller(gateway.callerAddress(router), PATH, all);
  }

  private void awaitVersion(String version) throws InterruptedException {
    LocalGateway.await(() -> servesVersion(0, version) && servesVersion(1, version));
  }

  private boolean servesVersion(int router, String version) {
    try (StreamCaller caller = open(router, "probe", Map.of())) {
      caller.readToEnd();
      return caller.body().equals(events(version, 1, EVENTS));
    } catch (IOException e) {
      return false;
    }
  }

  /** Begins a stream at router 0, and restarts all daemons once its first events have arrived. */
  private void breakStreamByRestart() throws Exception {
    try (StreamCaller caller = open(0, "begun", Map.of())) {
      caller.readEvent(FIRST_EVENTS);
      assertThat(caller.body()).isEqualTo(events("v1", 1, FIRST_EVENTS));
      LocalFleet.sleep(SPREAD_MILLIS);
    }
    gateway.closeRouter(0);
    gateway.closeRouter(1);
  }

  private void restartDaemons() throws Exception {
    gateway.restartControls();
    gateway.restartRouter(0);
    gateway.restartRouter(1);
    LocalGateway.await(() -> gateway.router(0).isReady() && gateway.router(1).isReady());
  }

  private StreamCaller takeUp() throws IOException {
    String lastEvent = Integer.toString(FIRST_EVENTS);
    StreamCaller caller =
        open(1, "return", Map.of("Last-Event-Id", lastEvent, "X-Resumes", "begun"));
    caller.readToEnd();
    return caller;
  }

  /**
   * Guards against a stream that goes on at the only version whose upstreams report, after all
   * daemons restarted and the version that began it left.
   */
  @Test
  public void shouldRefuseReturnOnceTheVersionThatBeganItIsReplaced() throws Exception {
    breakStreamByRestart();
    upstreams.stop("first");
    upstreams.start("second", "desk", "v2");
    restartDaemons();
    awaitVersion("v2");
    try (StreamCaller caller = takeUp()) {
      assertThat(caller.status()).as(caller.body()).isEqualTo(503);
      assertThat(caller.body()).contains("origin-unknown");
    }
  }

  /** Guards against returns that are refused although one version has served all the time. */
  @Test
  public void shouldGoOnWithReturnWhileOneVersionServes() throws Exception {
    breakStreamByRestart();
    restartDaemons();
    awaitVersion("v1");
    try (StreamCaller caller = takeUp()) {
      assertThat(caller.status()).as(caller.body()).isEqualTo(200);
      assertThat(caller.body()).isEqualTo(events("v1", FIRST_EVENTS + 1, EVENTS));
    }
  }
}
