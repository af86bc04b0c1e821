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
import java.util.List;
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

/** Tests of a gateway as callers, upstreams and operators use it. */
public class GatewayUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final List<String> seen = new CopyOnWriteArrayList<>();
  private volatile CountDownLatch held = new CountDownLatch(1);
  private volatile CountDownLatch left = new CountDownLatch(1);
  private final ScheduledExecutorService reports = Executors.newSingleThreadScheduledExecutor();
  private volatile State stateOfFirst = State.READY;
  private long sequence;
  private LocalGateway gateway;
  private Undertow first;
  private Undertow second;

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    first = startUpstream("u1");
    second = startUpstream("u2");
    gateway.open();
    reports.scheduleWithFixedDelay(this::reportUpstreams, 0, 500, TimeUnit.MILLISECONDS);
    LocalGateway.await(() -> seenFrom("u1") && seenFrom("u2"));
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    reports.shutdownNow();
    client.close();
    first.stop();
    second.stop();
    gateway.close();
  }

  /** Upstreams that say nothing for six seconds are passed over. */
  private void reportUpstreams() {
    sequence++;
    gateway.report(3, "u1", address(first), stateOfFirst, sequence);
    gateway.report(4, "u2", address(second), State.READY, sequence);
  }

  private boolean seenFrom(String upstream) {
    post(0, "/once/warm", "x");
    post(1, "/once/warm", "x");
    return seen.stream().anyMatch(line -> line.startsWith(upstream));
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
            .setHandler(exchange -> answer(id, exchange))
            .build();
    server.start();
    return server;
  }

  private void answer(String id, HttpServerExchange exchange) throws Exception {
    String path = exchange.getRequestURI();
    seen.add(id + " " + path + " " + header(exchange, "X-Client-Account"));
    exchange.getResponseHeaders().put(new HttpString("X-Answer-Seal"), "seal");
    exchange
        .getResponseHeaders()
        .put(new HttpString("X-Request-Id"), header(exchange, "X-Request-Id"));
    if (path.endsWith("/hold")) {
      exchange.dispatch(() -> hold(exchange));
    } else if (path.endsWith("/break")) {
      exchange.dispatch(() -> breakOff(exchange));
    } else if (path.endsWith("/silent")) {
      exchange.dispatch(() -> held.countDown());
    } else if (path.contains("/resume-")) {
      exchange.dispatch(() -> resumeOrBreak(exchange, path.endsWith("ok")));
    } else if (path.endsWith("/unsealed")) {
      exchange.getResponseHeaders().remove("X-Answer-Seal");
      exchange.getResponseSender().send("not mine");
    } else {
      exchange
          .getRequestReceiver()
          .receiveFullString(
              (e, body) ->
                  e.getResponseSender()
                      .send(body + header(e, "X-Api-Key") + header(e, "X-Expect-Upstream")));
    }
  }

  /** Answers for as long as anybody listens. */
  private void hold(HttpServerExchange exchange) {
    held.countDown();
    exchange.startBlocking();
    try {
      for (int id = 1; id < 200; id++) {
        String event = "id: " + id + "\ndata: x\n\n";
        exchange.getOutputStream().write(event.getBytes(StandardCharsets.UTF_8));
        exchange.getOutputStream().flush();
        Thread.sleep(50);
      }
    } catch (IOException e) {
      left.countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void breakOff(HttpServerExchange exchange) {
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

  /** Stops in the middle of event 3; goes on after event 2, or answers that it cannot. */
  private static void resumeOrBreak(HttpServerExchange exchange, boolean goesOn) {
    String last = header(exchange, "Last-Event-Id");
    exchange.startBlocking();
    try {
      if (last.equals("-")) {
        write(exchange, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        Thread.sleep(100);
        IoUtils.safeClose(exchange.getConnection());
      } else if (goesOn && last.equals("2")) {
        write(exchange, "id: 3\ndata: c\n\n");
        exchange.endExchange();
      } else {
        exchange.setStatusCode(500);
        write(exchange, "cannot go on");
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
    return HttpRequest.post(gateway.callers(router), path, body)
        .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
        .withHeader("X-Request-Id", "r" + path.hashCode())
        .withHeader("X-Api-Key", LocalGateway.KEY);
  }

  private HttpResponse post(int router, String path, String body) {
    return client.send(call(router, gateway, path, body), TIMEOUT).join();
  }

  @Test
  public void shouldRelayARequestAndTellTheUpstreamTheAccountButNotTheKey() {
    HttpResponse reply = post(0, "/once/a%20b?q=1", "hello");

    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.text()).matches("hello-u[12]");
    assertThat(reply.header("X-Answer-Seal")).contains("seal");
    assertThat(seen).anyMatch(line -> line.endsWith(" /once/a%20b captain"));
  }

  @Test
  public void shouldRefuseUnknownKeysAndRoutes() {
    HttpRequest wrongKey = call(0, gateway, "/once/x", "").withHeader("X-Api-Key", "stolen");
    HttpResponse refused = client.send(wrongKey, TIMEOUT).join();
    assertThat(refused.status()).isEqualTo(401);
    assertThat(refused.text()).contains("\"type\":\"unknown-key\"");
    assertThat(post(1, "/nowhere/x", "").status()).isEqualTo(404);
  }

  @Test
  public void shouldAnswerALongHeadOrBodyWithATypedError() {
    HttpRequest longHead = call(0, gateway, "/once/x", "").withHeader("X-Long", "x".repeat(40_000));
    assertThat(client.send(longHead, TIMEOUT).join().text()).contains("head-too-long");
    HttpResponse longBody = post(0, "/once/x", "x".repeat(5 << 20));
    assertThat(longBody.status()).isEqualTo(413);
  }

  /** A listener on the caller's connection once kept every request of it, with its body. */
  @Test
  public void shouldKeepNothingOfRequestsThatWereAnsweredOnAConnection() {
    String body = "x".repeat(1 << 20);
    post(0, "/once/kept", body);
    long before = usedHeap();
    for (int i = 0; i < 100; i++) {
      assertThat(post(0, "/once/kept", body).status()).isEqualTo(200);
    }
    assertThat(usedHeap() - before).as("bytes kept of 100 MB").isLessThan(50L << 20);
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  @Test
  public void shouldNotPassOnASuccessThatTheUpstreamDidNotSeal() {
    HttpResponse reply = post(0, "/once/unsealed", "");
    assertThat(reply.status()).isEqualTo(502);
    assertThat(reply.text()).contains("\"run\":\"unknown\"");
  }

  @DataProvider
  static Object[][] bodies() {
    return new Object[][] {
      {"Content-Length: 4\r\n\r\nbody"},
      {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
      {"Content-Length: 0\r\n\r\n"},
    };
  }

  /** The channel of a body once took the notifications, and 336 of 347 runs went on. */
  @Test(dataProvider = "bodies")
  public void shouldTellTheUpstreamWhenTheCallerOfARequestWithABodyLeaves(String body)
      throws Exception {
    held = new CountDownLatch(1);
    left = new CountDownLatch(1);
    String[] parts = gateway.callers(0).split(":");
    try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
      OutputStream out = socket.getOutputStream();
      String head =
          "POST /stream/hold HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Api-Key: "
              + LocalGateway.KEY
              + "\r\n"
              + body;
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      out.flush();
      assertThat(held.await(5, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(left.await(2, TimeUnit.SECONDS)).isTrue();
  }

  @Test(dataProvider = "bodies")
  public void shouldNoticeACallerWhoLeavesWhileTheUpstreamIsSilent(String body) throws Exception {
    held = new CountDownLatch(1);
    double before = callersGone();
    String[] parts = gateway.callers(0).split(":");
    try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
      String head =
          "POST /stream/silent HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Api-Key: "
              + LocalGateway.KEY
              + "\r\n"
              + body;
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      assertThat(held.await(5, TimeUnit.SECONDS)).isTrue();
    }
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500);
    while (callersGone() == before && System.nanoTime() - end < 0) {
      Thread.sleep(10);
    }
    assertThat(callersGone()).isEqualTo(before + 1);
  }

  private double callersGone() {
    return gateway
        .router(0)
        .metrics()
        .lines()
        .filter(line -> line.contains("answers_total") && line.contains("caller-gone"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  @Test
  public void shouldNeverLetAnAnswerThatBrokeOffLookComplete() throws Exception {
    String[] parts = gateway.callers(0).split(":");
    for (String kind : List.of("once", "again")) {
      try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
        String head =
            "GET /"
                + kind
                + "/break HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r2\r\nX-Api-Key: "
                + LocalGateway.KEY
                + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        String answer = readAll(socket.getInputStream());
        assertThat(answer).startsWith("HTTP/1.1 200").contains("data: half");
        assertThat(answer).as("the last chunk is missing").doesNotEndWith("0\r\n\r\n");
        assertThat(answer.indexOf("data: half")).isEqualTo(answer.lastIndexOf("data: half"));
      }
    }
  }

  private String stream(String path) throws IOException {
    String[] parts = gateway.callers(0).split(":");
    try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
      String head =
          "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r3\r\nX-Api-Key: ";
      String rest = LocalGateway.KEY + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write((head + rest).getBytes(StandardCharsets.US_ASCII));
      return readAll(socket.getInputStream());
    }
  }

  @Test
  public void shouldGoOnWithAStreamAtAnotherUpstreamWithoutRepeatingAnEvent() throws Exception {
    String answer = stream("/stream/resume-ok");
    String events = answer.replaceAll("(?s)^.*?\r\n\r\n", "").replaceAll("[0-9a-f]+\r\n|\r\n", "");
    assertThat(events).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    assertThat(answer).endsWith("0\r\n\r\n");
  }

  /** A 500 of the second upstream once ended such a stream as if it were complete (inc-3c17). */
  @Test
  public void shouldNotEndAStreamAsCompleteThatTheNextUpstreamCannotGoOnWith() throws Exception {
    String answer = stream("/stream/resume-no");
    assertThat(answer).contains("data: b").doesNotContain("cannot go on");
    assertThat(answer).doesNotEndWith("0\r\n\r\n");
  }

  private static String readAll(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    try {
      for (int c = in.read(); c >= 0; c = in.read()) {
        text.append((char) c);
      }
    } catch (IOException e) {
      // A reset is as good an end as a close: either shows that the answer is not whole.
      text.append("<reset>");
    }
    return text.toString();
  }

  @Test(dependsOnMethods = "shouldRelayARequestAndTellTheUpstreamTheAccountButNotTheKey")
  public void shouldSendNothingToAnUpstreamThatDrains() throws Exception {
    stateOfFirst = State.DRAINING;
    Thread.sleep(1_500);
    seen.clear();
    for (int i = 0; i < 20; i++) {
      HttpResponse reply = post(i % 2, "/once/drained", "x");
      assertThat(reply.status()).as(reply.text()).isEqualTo(200);
    }
    assertThat(seen).allMatch(line -> line.startsWith("u2"));
    stateOfFirst = State.READY;
  }

  @Test(dependsOnMethods = "shouldSendNothingToAnUpstreamThatDrains")
  public void shouldKeepADocumentWhenTwoDisksAreLostAtOnce() throws Exception {
    LocalGateway.await(gateway::isWhole);
    assertThat(gateway.put(2, 11)).isEqualTo(PutOutcome.ACCEPTED);
    gateway.wipe(0, 1);
    LocalGateway.await(() -> reads(0, 11) && reads(1, 11) && reads(4, 11));
    LocalGateway.await(gateway::isWhole);
    LocalGateway.await(() -> accepts(1, 12));
    gateway.wipe(2, 3);
    LocalGateway.await(() -> reads(2, 12) && reads(3, 12));
    assertThat(post(0, "/once/after", "x").status()).isEqualTo(200);
  }

  private boolean reads(int control, long version) {
    try {
      return gateway.read(control) == version;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean accepts(int control, long version) {
    try {
      return gateway.put(control, version) == PutOutcome.ACCEPTED;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
