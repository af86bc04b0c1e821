package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Usage tests of requests that a second upstream gets because the first one is silent.
 *
 * <p>A path {@code /ROUTE/SCENARIO/NUMBER} names what the upstreams of a request do.
 */
public class TakeoverUsageTest {

  private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  private static final String THIRD_EVENT = "id: 3\ndata: c\n\n";
  private static final String LAST_EVENT = "id: 4\ndata: d\n\n";
  private static final int FROZEN_MILLIS = 15_000;

  private static final int ANSWERS_IN_TIME = 60;

  /** In four rounds more than a router may have connections to its two upstreams. */
  private static final int CANCELLED_REQUESTS = 30;

  private final AtomicInteger requests = new AtomicInteger();
  private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;
  private LocalGateway smallGateway;
  private ScriptedUpstreams twoUpstreams;

  @BeforeClass
  public void startGateways() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, 4, this::answer);
    smallGateway = new LocalGateway();
    smallGateway.awaitServing();
    twoUpstreams = new ScriptedUpstreams(smallGateway, 2, this::answer);
    LocalGateway.await(() -> isServing(gateway) && isServing(smallGateway));
    for (LocalGateway each : List.of(gateway, smallGateway)) {
      raiseOnTimeRate(each, "repeatable");
      raiseOnTimeRate(each, "stream");
    }
  }

  @AfterClass(alwaysRun = true)
  public void stopGateways() throws Exception {
    upstreams.close();
    twoUpstreams.close();
    gateway.close();
    smallGateway.close();
  }

  private boolean isServing(LocalGateway current) {
    return get(current, path("repeatable", "serve"), "1.1").status() == 200;
  }

  /** Makes a missing response conclusive, which the routes' usual response times decide. */
  private void raiseOnTimeRate(LocalGateway current, String route) {
    for (int i = 0; i < ANSWERS_IN_TIME; i++) {
      get(current, path(route, "serve"), "1.1");
    }
  }

  private String path(String route, String scenario) {
    return "/" + route + "/" + scenario + "/" + requests.incrementAndGet();
  }

  private static RawResponse get(LocalGateway current, String path, String version) {
    try {
      return RawCaller.get(current.callerAddress(0), path, version);
    } catch (IOException e) {
      throw new AssertionError("no response to " + path, e);
    }
  }

  private void answer(Exchange exchange) throws IOException {
    int number =
        arrivals.computeIfAbsent(exchange.path(), key -> new AtomicInteger()).incrementAndGet();
    String scenario = exchange.path().split("/")[2];
    switch (scenario) {
      case "serve" -> exchange.writeAnswer(200, LAST_EVENT);
      case "hold" -> exchange.pause(FROZEN_MILLIS);
      case "no-content" -> answerOrFreeze(exchange, number, 204, "");
      case "rejected" -> answerOrFreeze(exchange, number, 404, "{}");
      case "late-failure" -> answerLate(exchange, number);
      case "late-refusal", "late-break", "late-error" -> pauseWithin(exchange, number, scenario);
      case "break-after-pause" -> breakAfterPause(exchange, number);
      case "headless" -> freezeAfterHead(exchange, number);
      default -> throw new IllegalArgumentException(scenario);
    }
  }

  private static void answerOrFreeze(Exchange exchange, int number, int status, String body)
      throws IOException {
    if (number == 1) {
      exchange.pause(FROZEN_MILLIS);
    } else if (body.isEmpty()) {
      exchange.writeHead(status);
    } else {
      exchange.writeAnswer(status, body);
    }
  }

  private static void answerLate(Exchange exchange, int number) throws IOException {
    exchange.pause(number == 1 ? 3_000 : 2_500);
    exchange.writeAnswer(number == 1 ? 500 : 200, "{}");
  }

  private static void writeFirstEvents(Exchange exchange) throws IOException {
    exchange.writeHead(200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream");
    exchange.writeChunk(FIRST_EVENTS);
  }

  private static void pauseWithin(Exchange exchange, int number, String scenario)
      throws IOException {
    if (number == 1) {
      writeFirstEvents(exchange);
      exchange.pause(2_500);
      exchange.writeChunk(THIRD_EVENT + LAST_EVENT);
      exchange.writeChunk("");
      return;
    }
    if (!exchange.header("Last-Event-Id").equals("2")) {
      throw new IOException("unexpected event " + exchange.header("Last-Event-Id"));
    }
    if (number > 2) {
      exchange.writeAnswer(200, THIRD_EVENT + LAST_EVENT);
      return;
    }
    exchange.pause(500);
    switch (scenario) {
      case "late-refusal" -> exchange.writeHead(503, "X-Not-Run: full", "Content-Length: 0");
      case "late-error" -> exchange.writeAnswer(500, "{}");
      default -> exchange.close();
    }
  }

  private void breakAfterPause(Exchange exchange, int number) throws IOException {
    if (number == 1) {
      writeFirstEvents(exchange);
      await(() -> arrivals.get(exchange.path()).get() > 1);
      exchange.pause(50);
      exchange.writeChunk(THIRD_EVENT);
      exchange.pause(400);
      exchange.resetAfterDelivery();
    } else if (number == 2) {
      exchange.pause(FROZEN_MILLIS);
    } else {
      exchange.writeAnswer(200, LAST_EVENT);
    }
  }

  private static void freezeAfterHead(Exchange exchange, int number) throws IOException {
    if (number == 1) {
      exchange.writeHead(200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream");
      exchange.pause(FROZEN_MILLIS);
    } else {
      exchange.writeAnswer(200, FIRST_EVENTS + THIRD_EVENT + LAST_EVENT);
    }
  }

  private static void await(BooleanSupplier condition) {
    try {
      LocalGateway.await(condition);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int status(String scenario) {
    raiseOnTimeRate(gateway, "repeatable");
    String path = path("repeatable", scenario);
    int status = get(gateway, path, "1.1").status();
    assertThat(arrivals.get(path).get()).as(path).isGreaterThan(1);
    return status;
  }

  /** Guards against a response without content that is taken for a lost one. */
  @Test
  public void shouldRelayResponseWithoutContentOfUpstreamThatTakesOver() {
    assertThat(status("no-content")).isEqualTo(204);
  }

  /** Guards against an answer that is discarded because another upstream is silent. */
  @Test
  public void shouldRelayRejectionOfUpstreamThatTakesOver() {
    assertThat(status("rejected")).isEqualTo(404);
  }

  /** Guards against the failure of one upstream while another one works on the request. */
  @Test
  public void shouldNotRelayFailureWhileAnotherUpstreamHasTheRequest() {
    assertThat(status("late-failure")).isEqualTo(200);
  }

  /** One after another, as a connection that breaks pauses its upstream for all requests. */
  @DataProvider
  public Object[][] lateScenarios() {
    return new Object[][] {{"late-refusal"}, {"late-break"}, {"late-error"}};
  }

  /** Guards against a stream that is broken off because the upstream that got it refuses late. */
  @Test(dataProvider = "lateScenarios")
  public void shouldDeliverWholeStreamWhenTheOtherUpstreamDoesNotTakeItOver(String scenario) {
    assertWhole(gateway, path("stream", scenario), "1.1");
  }

  @DataProvider(parallel = true)
  public Object[][] gateways() {
    return new Object[][] {{true}, {false}};
  }

  /** Guards against an upstream that cannot get a stream because an earlier pause has ended. */
  @Test(dataProvider = "gateways")
  public void shouldResumeStreamThatBreaksAfterPause(boolean two) {
    assertWhole(two ? smallGateway : gateway, path("stream", "break-after-pause"), "1.1");
  }

  @DataProvider(parallel = true)
  public Object[][] versions() {
    return new Object[][] {{"1.0"}, {"1.1"}};
  }

  /** Guards against two heads of responses to one request. */
  @Test(dataProvider = "versions")
  public void shouldDeliverWholeStreamOfUpstreamThatTakesOverAfterHead(String version) {
    raiseOnTimeRate(gateway, "stream");
    assertWhole(gateway, path("stream", "headless"), version);
  }

  private void assertWhole(LocalGateway current, String path, String version) {
    RawResponse response = get(current, path, version);
    assertThat(response.status())
        .as("%s: %s, %s attempts", path, response, arrivals.get(path))
        .isEqualTo(200);
    assertThat(response.complete()).as("%s complete: %s", path, response).isTrue();
    assertThat(response.body()).as(path).isEqualTo(FIRST_EVENTS + THIRD_EVENT + LAST_EVENT);
  }

  /** Guards against closed connections that still count as open. */
  @Test
  public void shouldNotCountConnectionsOfCancelledRequests() throws Exception {
    for (int round = 0; round < 4; round++) {
      List<Socket> sockets = new ArrayList<>();
      List<String> paths = new ArrayList<>();
      for (int i = 0; i < CANCELLED_REQUESTS; i++) {
        String path = path("stream-once", "hold");
        paths.add(path);
        sockets.add(send(path));
      }
      LocalGateway.await(() -> paths.stream().allMatch(arrivals::containsKey));
      for (Socket socket : sockets) {
        socket.close();
      }
      LocalGateway.await(() -> isServing(smallGateway));
      Thread.sleep(300);
    }
    for (int i = 0; i < 20; i++) {
      assertThat(get(smallGateway, path("once", "serve"), "1.1").status()).isEqualTo(200);
    }
  }

  private Socket send(String path) throws IOException {
    String[] hostAndPort = smallGateway.callerAddress(0).split(":");
    Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    String head =
        "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r%d\r\nX-Api-Key: %s\r\n\r\n"
            .formatted(path, LocalGateway.HOST, path.hashCode(), LocalGateway.API_KEY);
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }
}
