package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.admission.ReadingPause;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of callers that do not take their responses, beside others that do. */
public class SlowReadersUsageTest {

  /** Longer than the test: only the pause in reading ends a response. */
  private static final int TIMEOUT_MILLIS = 120_000;

  private static final int TARGET_MILLIS = 1_000;
  private static final int UPSTREAMS = 6;
  private static final int SLOW_CALLERS = 8;
  private static final int READ_BYTES = 16 << 10;
  private static final int LONG_BYTES = 64 << 20;
  private static final String PART = "x".repeat(64 << 10);

  private static final int FEW_BYTES = 4 << 10;
  private static final int TRICKLE_PAUSE_MILLIS = 100;
  private static final int TRICKLE_TIMEOUT_MILLIS = 20_000;

  private static final int HEAP_MEGABYTES = 48;
  private static final int MAX_DESCRIPTORS = 2_048;

  /** All streams together fit into the heap, so that only the budget ends some. */
  private static final int STREAMS = 120;

  private static final int UNFINISHED_BYTES = 110_000;
  private static final int TRICKLE_MILLIS = 300;

  /** Events that a tenth of the heap holds, and one whose bytes are on their way. */
  private static final int MAX_KEPT = HEAP_MEGABYTES * (1 << 20) / 10 / UNFINISHED_BYTES + 1;

  private static final int MAX_SENDS = 5;
  private static final long MAX_UNBEGUN_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final List<KeptConnection> connections = new ArrayList<>();
  private final Set<String> begun = ConcurrentHashMap.newKeySet();
  private final AtomicInteger cutOff = new AtomicInteger();
  private volatile boolean finishing;
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway(SlowReadersUsageTest::parseDocument, 1);
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, UPSTREAMS, this::answer);
    LocalGateway.await(() -> isServing(gateway.callerAddress(0)));
  }

  @BeforeMethod
  public void reset() {
    begun.clear();
    cutOff.set(0);
    finishing = false;
  }

  @AfterMethod(alwaysRun = true)
  public void closeConnections() throws IOException {
    for (KeptConnection connection : connections) {
      connection.close();
    }
    connections.clear();
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  /** Runs a router with the routes of this test. */
  public static void main(String[] args) throws Exception {
    RouterProcess.run(args, SlowReadersUsageTest::parseDocument);
  }

  private static FleetDocument parseDocument(byte[] content) throws DocumentException {
    long version = Long.parseLong(new String(content, StandardCharsets.UTF_8));
    return LocalGateway.document(
        version, List.of(route("once", Repetition.ONCE), route("stream", Repetition.STREAM)));
  }

  private static Route route(String name, Repetition repetition) {
    return new Route(
        name,
        LocalGateway.HOST,
        "/" + name + "/",
        repetition,
        TIMEOUT_MILLIS,
        TARGET_MILLIS,
        400,
        1,
        List.of(new WeightedService("desk", 1)),
        1,
        false,
        repetition == Repetition.STREAM);
  }

  private void answer(Exchange exchange) throws IOException {
    begun.add(exchange.header("X-Request-Id"));
    if (exchange.path().endsWith("/long")) {
      writeLong(exchange);
    } else if (exchange.path().endsWith("/unfinished")) {
      writeUnfinished(exchange);
    } else {
      exchange.writeAnswer(200, "quick");
    }
  }

  private void writeLong(Exchange exchange) throws IOException {
    exchange.writeHead(200, "Content-Length: " + LONG_BYTES);
    try {
      for (int written = 0; written < LONG_BYTES; written += PART.length()) {
        exchange.write(PART);
      }
    } catch (IOException e) {
      cutOff.incrementAndGet();
      throw e;
    }
  }

  /** Writes an event, and one that goes on until the test lets all streams finish. */
  private void writeUnfinished(Exchange exchange) throws IOException {
    exchange.writeHead(200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream");
    exchange.writeChunk("id: 0\ndata: a\n\n");
    exchange.writeChunk("id: 1\ndata: " + "x".repeat(UNFINISHED_BYTES));
    try {
      while (!finishing) {
        exchange.pause(TRICKLE_MILLIS);
        exchange.writeChunk("x");
      }
    } catch (IOException e) {
      cutOff.incrementAndGet();
      throw e;
    }
    exchange.writeChunk("\n\n");
    exchange.writeChunk("");
  }

  private static boolean isServing(String address) {
    try {
      return RawCaller.get(address, "/once/x", "1.1").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a request, and again on a new connection while no upstream begins it. */
  private void sendUntilBegun(String address, String path, String id) throws Exception {
    for (int attempt = 1; attempt <= MAX_SENDS; attempt++) {
      String attemptId = id + "-" + attempt;
      KeptConnection connection = new KeptConnection(address);
      connection.send(KeptConnection.get(path, attemptId));
      long until = System.nanoTime() + MAX_UNBEGUN_NANOS;
      while (!begun.contains(attemptId) && System.nanoTime() < until) {
        Thread.sleep(1);
      }
      if (begun.contains(attemptId)) {
        connections.add(connection);
        return;
      }
      connection.close();
    }
    throw new AssertionError("request %s was not begun in %d sends".formatted(id, MAX_SENDS));
  }

  private double metric(String name) {
    return gateway
        .router(0)
        .metrics()
        .lines()
        .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  /** Guards against callers that stopped reading and keep the slots of their upstreams. */
  @Test(timeOut = 90_000)
  public void shouldFreeUpstreamsOfCallersThatStoppedAndServeOthersMeanwhile() throws Exception {
    String address = gateway.callerAddress(0);
    double endedBefore = metric("toucansaddle_gateway_unread_ended_total");
    for (int caller = 0; caller < SLOW_CALLERS; caller++) {
      sendUntilBegun(address, "/once/long", "slow-" + caller);
    }
    double mostHeld = 0;
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    while (cutOff.get() < SLOW_CALLERS && System.nanoTime() < until) {
      assertThat(RawCaller.get(address, "/once/x", "1.1").body()).isEqualTo("quick");
      mostHeld = Math.max(mostHeld, metric("toucansaddle_gateway_unread_bytes"));
    }
    assertThat(cutOff.get()).as("upstreams that were freed").isEqualTo(SLOW_CALLERS);
    assertThat(mostHeld).isPositive().isLessThanOrEqualTo(SLOW_CALLERS * READ_BYTES);
    for (KeptConnection connection : connections) {
      RawResponse response = connection.receive();
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.complete()).as("response that was not read looks whole").isFalse();
    }
    assertThat(metric("toucansaddle_gateway_unread_bytes")).isZero();
    assertThat(metric("toucansaddle_gateway_unread_ended_total") - endedBefore)
        .isEqualTo(SLOW_CALLERS);
  }

  /** Guards against callers that take few bytes at a time and lose the rest of their response. */
  @Test(timeOut = 90_000)
  public void shouldDeliverWholeResponseToCallerThatTakesFewBytesAtATime() throws Exception {
    double endedBefore = metric("toucansaddle_gateway_unread_ended_total");
    String address = gateway.callerAddress(0);
    try (Socket trickle = new Socket()) {
      trickle.setReceiveBufferSize(FEW_BYTES);
      trickle.setSoTimeout(TRICKLE_TIMEOUT_MILLIS);
      trickle.connect(new InetSocketAddress("127.0.0.1", Integer.parseInt(address.split(":")[1])));
      byte[] request = KeptConnection.get("/once/long", "trickle").getBytes(StandardCharsets.UTF_8);
      trickle.getOutputStream().write(request);
      InputStream in = trickle.getInputStream();
      LocalGateway.await(() -> metric("toucansaddle_gateway_unread_bytes") > 0);
      ByteArrayOutputStream first = new ByteArrayOutputStream();
      long until = System.nanoTime() + 3 * ReadingPause.MAX_PAUSE_NANOS;
      while (System.nanoTime() < until) {
        first.write(in.readNBytes(FEW_BYTES));
        Thread.sleep(TRICKLE_PAUSE_MILLIS);
      }
      assertThat(cutOff.get()).as("upstreams that were cut off").isZero();
      InputStream all =
          new SequenceInputStream(
              new ByteArrayInputStream(first.toByteArray()), new BufferedInputStream(in));
      RawResponse response = RawCaller.readResponse(all);
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.complete()).isTrue();
      assertThat(response.body().length()).isEqualTo(LONG_BYTES);
    }
    assertThat(metric("toucansaddle_gateway_unread_ended_total")).isEqualTo(endedBefore);
  }

  /** Guards against bytes of callers that left, which would be counted for ever. */
  @Test(timeOut = 90_000)
  public void shouldCountNothingForCallersThatLeft() throws Exception {
    double endedBefore = metric("toucansaddle_gateway_unread_ended_total");
    String address = gateway.callerAddress(0);
    sendUntilBegun(address, "/once/long", "leaving");
    LocalGateway.await(() -> metric("toucansaddle_gateway_unread_bytes") > 0);
    closeConnections();
    LocalGateway.await(() -> cutOff.get() == 1);
    LocalGateway.await(() -> metric("toucansaddle_gateway_unread_bytes") == 0);
    assertThat(metric("toucansaddle_gateway_unread_ended_total")).isEqualTo(endedBefore);
  }

  /** Guards against events that are each within their limit and together take all memory. */
  @Test(timeOut = 90_000)
  public void shouldBoundUnfinishedEventsInSumAndServeOthersMeanwhile() throws Exception {
    try (RouterProcess router =
        RouterProcess.start(gateway, MAX_DESCRIPTORS, HEAP_MEGABYTES, SlowReadersUsageTest.class)) {
      String address = router.callerAddress();
      LocalGateway.await(() -> isServing(address));
      for (int stream = 0; stream < STREAMS; stream++) {
        sendUntilBegun(address, "/stream/unfinished", "stream-" + stream);
      }
      LocalGateway.await(() -> cutOff.get() >= STREAMS - MAX_KEPT);
      assertThat(RawCaller.get(address, "/once/x", "1.1").body()).isEqualTo("quick");
      finishing = true;
      int whole = 0;
      for (KeptConnection connection : connections) {
        RawResponse response = connection.receive();
        assertThat(response.status()).isEqualTo(200);
        if (response.complete()) {
          whole++;
          assertThat(response.body().length()).isGreaterThan(UNFINISHED_BYTES);
        }
      }
      assertThat(whole).as("streams that were completed").isBetween(1, MAX_KEPT);
    }
  }
}
