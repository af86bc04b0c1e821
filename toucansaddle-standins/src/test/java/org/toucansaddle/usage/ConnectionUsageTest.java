package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.xnio.IoUtils;

/** Usage tests of routers that are late, or whose callers keep many connections open. */
public class ConnectionUsageTest {

  private static final int IDLE_TIMEOUT_MILLIS = 1_500;

  /** Time allowed to notice that a connection is idle for too long. */
  private static final int IDLE_TOLERANCE_MILLIS = 1_500;

  /** Callers wait so long for a new connection and its response. */
  private static final int RESPONSE_TIMEOUT_MILLIS = 1_000;

  private final ScheduledExecutorService reports = Executors.newSingleThreadScheduledExecutor();
  private final List<Socket> sockets = new ArrayList<>();
  private final List<String> handledPaths = new CopyOnWriteArrayList<>();
  private LocalGateway gateway;
  private Undertow upstream;
  private long sequence;

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway(ConnectionUsageTest::parseDocument);
    upstream =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(this::handleRequest)
            .build();
    upstream.start();
    gateway.awaitServing();
    reports.scheduleWithFixedDelay(this::reportUpstream, 0, 500, TimeUnit.MILLISECONDS);
    LocalGateway.await(() -> isServing(gateway.callerAddress(0)));
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    reports.shutdownNow();
    sockets.forEach(IoUtils::safeClose);
    upstream.stop();
    gateway.close();
  }

  private static FleetDocument parseDocument(byte[] content) throws DocumentException {
    FleetDocument document = LocalGateway.parseDocument(content);
    CallerLimits limits = CallerLimits.defaults();
    return new FleetDocument(
        document.version(),
        document.routes(),
        document.services(),
        document.accounts(),
        new CallerLimits(
            limits.maxHeaderBytes(),
            limits.maxBodyBytes(),
            limits.headerTimeoutMillis(),
            IDLE_TIMEOUT_MILLIS,
            limits.tokensPerSecond()));
  }

  private void handleRequest(HttpServerExchange exchange) {
    handledPaths.add(exchange.getRequestURI());
    if (exchange.getRequestURI().endsWith("/half-second")) {
      exchange.getIoThread().executeAfter(() -> sendAnswer(exchange), 500, TimeUnit.MILLISECONDS);
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
    } else {
      sendAnswer(exchange);
    }
  }

  private static void sendAnswer(HttpServerExchange exchange) {
    HttpString requestId = new HttpString("X-Request-Id");
    exchange.getResponseHeaders().put(new HttpString("X-Answer-Seal"), "seal");
    exchange.getResponseHeaders().put(requestId, exchange.getRequestHeaders().getFirst(requestId));
    exchange.getResponseSender().send("answer");
  }

  private void reportUpstream() {
    InetSocketAddress bound = (InetSocketAddress) upstream.getListenerInfo().get(0).getAddress();
    sequence++;
    gateway.reportUpstream(0, "u1", "127.0.0.1:" + bound.getPort(), State.READY, sequence);
  }

  private Socket connect(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    sockets.add(socket);
    socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
    int port = Integer.parseInt(address.substring(colon + 1));
    socket.connect(new InetSocketAddress("127.0.0.1", port), RESPONSE_TIMEOUT_MILLIS);
    return socket;
  }

  /** Sends a request and returns its status; the connection stays open. */
  private static int get(Socket socket) throws IOException {
    send(socket, "/once/x");
    return readStatus(socket);
  }

  private static int readStatus(Socket socket) throws IOException {
    byte[] response = new byte[4_096];
    int count = socket.getInputStream().read(response);
    if (count < 0) {
      throw new IOException("the connection ended without a response");
    }
    String text = new String(response, 0, count, StandardCharsets.US_ASCII);
    return Integer.parseInt(text.split(" ", 3)[1]);
  }

  private static void send(Socket socket, String path) throws IOException {
    String request =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: "
            + LocalGateway.HOST
            + "\r\nX-Request-Id: r1\r\nX-Api-Key: "
            + LocalGateway.API_KEY
            + "\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  private boolean isServing(String address) {
    try (Socket socket = connect(address)) {
      return get(socket) == 200;
    } catch (IOException e) {
      return false;
    }
  }

  @DataProvider
  public static Object[][] invalidHosts() {
    return new Object[][] {{""}, {"Host: h.example\r\nHost: other.example\r\n"}};
  }

  /** Guards against requests that a proxy before the router assigns to another host. */
  @Test(dataProvider = "invalidHosts")
  public void shouldRefuseRequestWithoutExactlyOneHost(String hostFields) throws Exception {
    String request = "GET /once/x HTTP/1.1\r\n" + hostFields + "X-Request-Id: r1\r\n\r\n";
    try (Socket socket = connect(gateway.callerAddress(0))) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      assertThat(readStatus(socket)).isEqualTo(400);
    }
  }

  /** Guards against idle connections of callers that add up until no descriptor is left. */
  @Test
  public void shouldCloseConnectionThatIsIdleLongerThanDocumentAllows() throws Exception {
    Socket socket = connect(gateway.callerAddress(0));
    assertThat(get(socket)).isEqualTo(200);
    Thread.sleep(IDLE_TIMEOUT_MILLIS / 2);
    assertThat(get(socket)).as("request within the idle timeout").isEqualTo(200);
    socket.setSoTimeout(IDLE_TIMEOUT_MILLIS + IDLE_TOLERANCE_MILLIS);
    int end;
    try {
      end = socket.getInputStream().read();
    } catch (SocketTimeoutException e) {
      throw new AssertionError("the idle connection is still open", e);
    }
    assertThat(end).as("end of the idle connection").isEqualTo(-1);
  }

  /** Guards against a router that serves nobody because callers keep connections open there. */
  @Test
  public void shouldServeNewCallersWhenKeptConnectionsExceedDescriptors() throws Exception {
    int maxDescriptors = 300;
    int callers = 2 * maxDescriptors;
    try (RouterProcess router = RouterProcess.startWithDescriptors(gateway, maxDescriptors)) {
      LocalGateway.await(() -> isServing(router.callerAddress()));
      for (int caller = 1; caller <= callers; caller++) {
        int status;
        try {
          status = get(connect(router.callerAddress()));
        } catch (IOException e) {
          throw new AssertionError(
              "caller %d of %d got no response; log: %s"
                  .formatted(caller, callers, router.logFile()),
              e);
        }
        assertThat(status).as("caller %d of %d", caller, callers).isEqualTo(200);
      }
    }
  }

  /** Guards against kept, silent and unfinished connections that are not bounded in sum. */
  @Test
  public void shouldServeNewCallersWhileConnectionsOfAllKindsExceedDescriptors() throws Exception {
    int maxDescriptors = 300;
    try (RouterProcess router = RouterProcess.startWithDescriptors(gateway, maxDescriptors)) {
      LocalGateway.await(() -> isServing(router.callerAddress()));
      for (int caller = 0; caller < 2 * maxDescriptors; caller++) {
        connect(router.callerAddress());
        connect(router.callerAddress()).getOutputStream().write('G');
        assertThat(get(connect(router.callerAddress()))).as("caller %d", caller).isEqualTo(200);
      }
      assertThat(Files.readString(router.logFile())).doesNotContain("accept failed");
    }
  }

  /** Guards against requests that run for nobody: a router that was late sent them on. */
  @Test
  public void shouldNotSendRequestWhoseCallerLeftBeforeItWasRead() throws Exception {
    try (RouterProcess router = RouterProcess.startWithDescriptors(gateway, 1_024)) {
      LocalGateway.await(() -> isServing(router.callerAddress()));
      router.signal("STOP");
      for (int caller = 0; caller < 20; caller++) {
        try (Socket socket = connect(router.callerAddress())) {
          send(socket, "/once/left");
        }
      }
      Thread.sleep(300);
      router.signal("CONT");
      LocalGateway.await(() -> isServing(router.callerAddress()));
      Thread.sleep(500);
    }
    assertThat(handledPaths).doesNotContain("/once/left");
  }

  /** Guards against a late router that blames its upstreams for answers it has not read yet. */
  @Test
  public void shouldReadWaitingAnswerBeforeUpstreamCountsAsStuck() throws Exception {
    try (RouterProcess router = RouterProcess.startWithDescriptors(gateway, 1_024)) {
      LocalGateway.await(() -> isServing(router.callerAddress()));
      try (Socket socket = connect(router.callerAddress())) {
        for (int i = 0; i < 40; i++) {
          send(socket, "/repeatable/x");
          assertThat(readStatus(socket)).isEqualTo(200);
        }
        send(socket, "/repeatable/half-second");
        Thread.sleep(200);
        router.signal("STOP");
        Thread.sleep(2_500);
        router.signal("CONT");
        assertThat(readStatus(socket)).isEqualTo(200);
      }
    }
    assertThat(handledPaths).containsOnlyOnce("/repeatable/half-second");
  }

  /** Guards against a router that reads no answers while new connections keep arriving. */
  @Test
  public void shouldAnswerInTimeWhileOthersConnectWithoutPause() throws Exception {
    int floodingCallers = 40;
    ExecutorService callers = Executors.newFixedThreadPool(floodingCallers);
    AtomicBoolean flooding = new AtomicBoolean(true);
    try (RouterProcess router = RouterProcess.startWithDescriptors(gateway, 4_096)) {
      LocalGateway.await(() -> isServing(router.callerAddress()));
      Socket kept = connect(router.callerAddress());
      assertThat(get(kept)).isEqualTo(200);
      for (int caller = 0; caller < floodingCallers; caller++) {
        callers.execute(() -> connectRepeatedly(router.callerAddress(), flooding));
      }
      for (int i = 0; i < 6; i++) {
        send(kept, "/once/half-second");
        assertThat(readStatus(kept)).isEqualTo(200);
      }
    } finally {
      flooding.set(false);
      callers.shutdown();
    }
  }

  /** Sends requests that are refused, each on a new connection. */
  private static void connectRepeatedly(String address, AtomicBoolean flooding) {
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    while (flooding.get()) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
        send(socket, "/no-route");
        readStatus(socket);
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
  }

  /** Guards against a stop that waits for I/O threads that have ended. */
  @Test(timeOut = 20_000)
  public void shouldCloseAgainAfterShutdown() {
    gateway.router(1).shutDown();
    gateway.router(1).close();
  }
}
