package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.ControlGateway.PutOutcome;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;
import org.xnio.IoUtils;

/** Usage tests of a gateway from the view of callers, upstreams and operators. */
public class GatewayUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final List<String> handledRequests = new CopyOnWriteArrayList<>();
  private volatile CountDownLatch requestArrived = new CountDownLatch(1);
  private volatile CountDownLatch callerDisconnected = new CountDownLatch(1);
  private final ScheduledExecutorService reportExecutor =
      Executors.newSingleThreadScheduledExecutor();
  private volatile State firstState = State.READY;
  private long sequence;
  private LocalGateway gateway;
  private Undertow firstUpstream;
  private Undertow secondUpstream;

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    firstUpstream = startUpstream("u1");
    secondUpstream = startUpstream("u2");
    gateway.awaitServing();
    reportExecutor.scheduleWithFixedDelay(this::reportUpstreams, 0, 500, TimeUnit.MILLISECONDS);
    LocalGateway.await(() -> isServedBy(0, "u1") && isServedBy(0, "u2"));
    LocalGateway.await(() -> isServedBy(1, "u1") && isServedBy(1, "u2"));
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    reportExecutor.shutdownNow();
    client.close();
    firstUpstream.stop();
    secondUpstream.stop();
    gateway.close();
  }

  /** Upstreams without a report for six seconds get no requests. */
  private void reportUpstreams() {
    sequence++;
    gateway.reportUpstream(3, "u1", address(firstUpstream), firstState, sequence);
    gateway.reportUpstream(4, "u2", address(secondUpstream), State.READY, sequence);
  }

  private boolean isServedBy(int router, String upstream) {
    for (int i = 0; i < 10; i++) {
      if (post(router, "/once/warm", "x").text().endsWith(upstream)) {
        return true;
      }
    }
    return false;
  }

  private static String address(Undertow server) {
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    return "127.0.0.1:" + bound.getPort();
  }

  private Undertow startUpstream(String id) {
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(2)
            .setHandler(exchange -> handleRequest(id, exchange))
            .build();
    server.start();
    return server;
  }

  private void handleRequest(String id, HttpServerExchange exchange) throws Exception {
    String path = exchange.getRequestURI();
    handledRequests.add(id + " " + path + " " + header(exchange, "X-Client-Account"));
    exchange.getResponseHeaders().put(new HttpString("X-Answer-Seal"), "seal");
    exchange
        .getResponseHeaders()
        .put(new HttpString("X-Request-Id"), header(exchange, "X-Request-Id"));
    if (path.endsWith("/hold")) {
      exchange.dispatch(() -> streamUntilDisconnect(exchange));
    } else if (path.endsWith("/break")) {
      exchange.dispatch(() -> abortResponse(exchange));
    } else if (path.endsWith("/silent")) {
      exchange.dispatch(() -> requestArrived.countDown());
    } else if (path.contains("/resume-")) {
      exchange.dispatch(() -> resumeOrAbort(exchange, path.endsWith("ok")));
    } else if (path.endsWith("/full")) {
      exchange.getResponseHeaders().put(new HttpString("X-Not-Run"), "1");
      exchange.setStatusCode(503).endExchange();
    } else if (path.endsWith("/unsealed")) {
      exchange.getResponseHeaders().remove("X-Answer-Seal");
      exchange.getResponseHeaders().put(new HttpString("X-Upstream-Load"), "1,0,4");
      exchange.getResponseSender().send("unsealed");
    } else {
      exchange
          .getRequestReceiver()
          .receiveFullString(
              (e, body) ->
                  e.getResponseSender()
                      .send(body + header(e, "X-Api-Key") + header(e, "X-Expect-Upstream")));
    }
  }

  /** Streams events until the connection is closed, for at most 10 s. */
  private void streamUntilDisconnect(HttpServerExchange exchange) {
    requestArrived.countDown();
    exchange.startBlocking();
    try {
      for (int id = 1; id < 200; id++) {
        String event = "id: " + id + "\ndata: x\n\n";
        exchange.getOutputStream().write(event.getBytes(StandardCharsets.UTF_8));
        exchange.getOutputStream().flush();
        Thread.sleep(50);
      }
    } catch (IOException e) {
      callerDisconnected.countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void abortResponse(HttpServerExchange exchange) {
    exchange.startBlocking();
    try {
      exchange.getOutputStream().write("data: half".getBytes(StandardCharsets.UTF_8));
      exchange.getOutputStream().flush();
      Thread.sleep(100);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
    IoUtils.safeClose(exchange.getConnection());
  }

  /** Aborts in the middle of event 3; on the next attempt resumes after event 2 or sends 500. */
  private static void resumeOrAbort(HttpServerExchange exchange, boolean resumes) {
    String lastEventId = header(exchange, "Last-Event-Id");
    exchange.startBlocking();
    try {
      if (lastEventId.equals("-")) {
        write(exchange, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        Thread.sleep(100);
        IoUtils.safeClose(exchange.getConnection());
      } else if (resumes && lastEventId.equals("2")) {
        write(exchange, "id: 3\ndata: c\n\n");
        exchange.endExchange();
      } else {
        exchange.setStatusCode(500);
        write(exchange, "cannot resume");
        exchange.endExchange();
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void write(HttpServerExchange exchange, String text) throws IOException {
    exchange.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    exchange.getOutputStream().flush();
  }

  private static String header(HttpServerExchange exchange, String name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "-" : value;
  }

  private static HttpRequest call(int router, LocalGateway gateway, String path, String body) {
    return HttpRequest.post(gateway.callerAddress(router), path, body)
        .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
        .withHeader("X-Request-Id", "r" + path.hashCode())
        .withHeader("X-Api-Key", LocalGateway.API_KEY);
  }

  private HttpResponse post(int router, String path, String body) {
    return client.send(call(router, gateway, path, body), TIMEOUT).join();
  }

  @Test
  public void shouldRelayRequestWithAccountAndWithoutApiKey() {
    HttpResponse response = post(0, "/once/a%20b?q=1", "hello");

    assertThat(response.status()).isEqualTo(200);
    assertThat(response.text()).matches("hello-u[12]");
    assertThat(response.header("X-Answer-Seal")).contains("seal");
    assertThat(handledRequests).anyMatch(line -> line.endsWith(" /once/a%20b captain"));
  }

  @Test
  public void shouldRejectUnknownKeysAndRoutes() {
    HttpRequest wrongKey = call(0, gateway, "/once/x", "").withHeader("X-Api-Key", "stolen");
    HttpResponse rejected = client.send(wrongKey, TIMEOUT).join();
    assertThat(rejected.status()).isEqualTo(401);
    assertThat(rejected.text()).contains("\"type\":\"unknown-key\"");
    assertThat(post(1, "/nowhere/x", "").status()).isEqualTo(404);
  }

  @Test
  public void shouldRejectOversizedHeadOrBody() {
    HttpRequest oversizedHead =
        call(0, gateway, "/once/x", "").withHeader("X-Long", "x".repeat(40_000));
    assertThat(client.send(oversizedHead, TIMEOUT).join().text()).contains("head-too-long");
    HttpResponse oversizedBody = post(0, "/once/x", "x".repeat(5 << 20));
    assertThat(oversizedBody.status()).isEqualTo(413);
  }

  /**
   * Guards against a memory leak: a listener on the caller's connection retained all requests of
   * that connection with their bodies.
   */
  @Test
  public void shouldReleaseAnsweredRequestsOfConnection() {
    String body = "x".repeat(1 << 20);
    post(0, "/once/kept", body);
    long heapBytesBefore = usedHeapBytes();
    for (int i = 0; i < 100; i++) {
      assertThat(post(0, "/once/kept", body).status()).isEqualTo(200);
    }
    assertThat(usedHeapBytes() - heapBytesBefore)
        .as("bytes retained of 100 MB")
        .isLessThan(50L << 20);
  }

  private static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * Guards against callers that full upstreams refused and that all return together, so late that
   * no response to a retry can meet the target of its route.
   */
  @Test
  public void shouldSpreadRetriesOfCallersOfFullUpstreamsWithinTarget() {
    Set<Double> delays = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      HttpResponse response = post(i % 2, "/once/full", "");
      assertThat(response.text()).contains("upstream-full");
      double seconds = Double.parseDouble(response.header("Retry-After").orElseThrow());
      assertThat(seconds).isLessThanOrEqualTo(LocalGateway.TARGET_MILLIS / 2_000.0);
      delays.add(seconds);
    }
    assertThat(delays).hasSizeGreaterThan(10);
  }

  @Test
  public void shouldNotRelayUnsealedSuccess() {
    HttpResponse response = post(0, "/once/unsealed", "");
    assertThat(response.status()).isEqualTo(502);
    assertThat(response.text()).contains("\"run\":\"unknown\"");
  }

  // A response that may come from something else at the address was taken for the upstream's load.
  @Test
  public void shouldNotTrustLoadOfUnsealedSuccess() {
    assertThat(post(0, "/once/unsealed", "").status()).isEqualTo(502);
    assertThat(gateway.router(0).metrics().lines())
        .contains("toucansaddle_gateway_load_reporting_upstreams 0.0");
  }

  @DataProvider
  static Object[][] bodies() {
    return new Object[][] {
      {"Content-Length: 4\r\n\r\nbody"},
      {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
      {"Content-Length: 0\r\n\r\n"},
    };
  }

  /**
   * Guards against missed disconnects: when the channel of a request body consumed the read
   * notifications, 336 of 347 upstream runs continued after the caller had disconnected.
   */
  @Test(dataProvider = "bodies")
  public void shouldCancelUpstreamRequestWhenCallerDisconnects(String body) throws Exception {
    requestArrived = new CountDownLatch(1);
    callerDisconnected = new CountDownLatch(1);
    String[] hostAndPort = gateway.callerAddress(0).split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      OutputStream out = socket.getOutputStream();
      String head =
          "POST /stream/hold HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Api-Key: "
              + LocalGateway.API_KEY
              + "\r\n"
              + body;
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      out.flush();
      assertThat(requestArrived.await(5, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(callerDisconnected.await(2, TimeUnit.SECONDS)).isTrue();
  }

  @Test(dataProvider = "bodies")
  public void shouldDetectCallerDisconnectWhileUpstreamIsSilent(String body) throws Exception {
    requestArrived = new CountDownLatch(1);
    double countBefore = countCallerGone();
    String[] hostAndPort = gateway.callerAddress(0).split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      String head =
          "POST /stream/silent HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Api-Key: "
              + LocalGateway.API_KEY
              + "\r\n"
              + body;
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      assertThat(requestArrived.await(5, TimeUnit.SECONDS)).isTrue();
    }
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500);
    while (countCallerGone() == countBefore && System.nanoTime() - deadlineNanos < 0) {
      Thread.sleep(10);
    }
    assertThat(countCallerGone()).isEqualTo(countBefore + 1);
  }

  private double countCallerGone() {
    return gateway
        .router(0)
        .metrics()
        .lines()
        .filter(line -> line.contains("answers_total") && line.contains("caller-gone"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  @Test
  public void shouldNotEndAbortedResponseAsComplete() throws Exception {
    String[] hostAndPort = gateway.callerAddress(0).split(":");
    for (String kind : List.of("once", "repeatable")) {
      try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
        String head =
            "GET /"
                + kind
                + "/break HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r2\r\nX-Api-Key: "
                + LocalGateway.API_KEY
                + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        String answer = readAll(socket.getInputStream());
        assertThat(answer).startsWith("HTTP/1.1 200").contains("data: half");
        assertThat(answer).as("the last chunk is missing").doesNotEndWith("0\r\n\r\n");
        assertThat(answer.indexOf("data: half")).isEqualTo(answer.lastIndexOf("data: half"));
      }
    }
  }

  private String readStream(String path) throws IOException {
    String[] hostAndPort = gateway.callerAddress(0).split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      String head =
          "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r3\r\nX-Api-Key: ";
      String rest = LocalGateway.API_KEY + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write((head + rest).getBytes(StandardCharsets.US_ASCII));
      return readAll(socket.getInputStream());
    }
  }

  @Test
  public void shouldResumeStreamOnOtherUpstreamWithoutRepeatedEvent() throws Exception {
    String answer = readStream("/stream/resume-ok");
    String events = answer.replaceAll("(?s)^.*?\r\n\r\n", "").replaceAll("[0-9a-f]+\r\n|\r\n", "");
    assertThat(events).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    assertThat(answer).endsWith("0\r\n\r\n");
  }

  /**
   * Guards against incident inc-3c17: a 500 from the second upstream ended the stream as if it were
   * complete.
   */
  @Test
  public void shouldNotEndStreamAsCompleteWhenResumptionFails() throws Exception {
    String answer = readStream("/stream/resume-no");
    assertThat(answer).contains("data: b").doesNotContain("cannot resume");
    assertThat(answer).doesNotEndWith("0\r\n\r\n");
  }

  private static String readAll(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    try {
      for (int c = in.read(); c >= 0; c = in.read()) {
        text.append((char) c);
      }
    } catch (IOException e) {
      // A reset, like a close, shows that the response is incomplete.
      text.append("<reset>");
    }
    return text.toString();
  }

  @Test(dependsOnMethods = "shouldRelayRequestWithAccountAndWithoutApiKey")
  public void shouldSendNothingToDrainingUpstream() throws Exception {
    firstState = State.DRAINING;
    Thread.sleep(1_500);
    handledRequests.clear();
    for (int i = 0; i < 20; i++) {
      HttpResponse response = post(i % 2, "/once/drained", "x");
      assertThat(response.status()).as(response.text()).isEqualTo(200);
    }
    assertThat(handledRequests).allMatch(line -> line.startsWith("u2"));
    firstState = State.READY;
  }

  @Test(dependsOnMethods = "shouldSendNothingToDrainingUpstream")
  public void shouldKeepDocumentWhenTwoDisksAreLost() throws Exception {
    LocalGateway.await(gateway::isFullyReplicated);
    assertThat(gateway.putDocument(2, 11)).isEqualTo(PutOutcome.ACCEPTED);
    gateway.restartWithEmptyDisks(0, 1);
    LocalGateway.await(() -> hasVersion(0, 11) && hasVersion(1, 11) && hasVersion(4, 11));
    LocalGateway.await(gateway::isFullyReplicated);
    LocalGateway.await(() -> isAccepted(1, 12));
    gateway.restartWithEmptyDisks(2, 3);
    LocalGateway.await(() -> hasVersion(2, 12) && hasVersion(3, 12));
    assertThat(post(0, "/once/after", "x").status()).isEqualTo(200);
  }

  private boolean hasVersion(int control, long version) {
    try {
      return gateway.readVersion(control) == version;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean isAccepted(int control, long version) {
    try {
      return gateway.putDocument(control, version) == PutOutcome.ACCEPTED;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
