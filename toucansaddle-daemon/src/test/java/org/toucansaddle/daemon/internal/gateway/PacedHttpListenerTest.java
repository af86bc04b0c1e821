package org.toucansaddle.daemon.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.IoThreads;
import org.toucansaddle.daemon.internal.gateway.relay.CallerConnections;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Tests of {@link PacedHttpListener}. */
public class PacedHttpListenerTest {

  private static final int MAX_ARRIVED = 5;
  private static final int CONNECTIONS = 30;
  private static final int FLOOD = 200;
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int DELIVERY_MILLIS = 100;
  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long HANDLER_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
  private static final long TIMER_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private XnioWorker worker;
  private List<Socket> callers;

  @BeforeMethod
  public void startWorker() {
    worker = IoThreads.start(1);
    callers = new ArrayList<>();
  }

  @AfterMethod(alwaysRun = true)
  public void closeCallers() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    worker.shutdownNow();
  }

  /** Guards against new connections that are closed and leave no trace in logs and metrics. */
  @Test
  public void shouldCountConnectionsThatItClosesBecauseTooManyWait() throws Exception {
    Queue<StreamConnection> arrived = connectCallers(CONNECTIONS);
    try (PacedHttpListener listener =
        listen(
            HttpServerExchange::endExchange,
            MAX_ARRIVED,
            withBudget(2 * CONNECTIONS + FLOOD),
            false)) {
      worker.getIoThread().execute(() -> listener.takeOver(arrived::poll));
      int answered = 0;
      for (Socket caller : callers) {
        answered += isAnswered(caller) ? 1 : 0;
      }
      assertThat(answered).isEqualTo(MAX_ARRIVED);
      assertThat(listener.rejectedCount()).isEqualTo(CONNECTIONS - MAX_ARRIVED);
    }
  }

  /** Guards against new connections and timers that keep open connections from being served. */
  @Test
  public void shouldServeOpenConnectionsWhileNewOnesAndTimersAreAlwaysDue() throws Exception {
    Queue<String> handled = new ConcurrentLinkedQueue<>();
    Queue<StreamConnection> kept = connectCallers(1);
    Queue<StreamConnection> flood = connectCallers(FLOOD);
    AtomicBoolean ended = new AtomicBoolean();
    try (PacedHttpListener listener =
        listen(
            exchange -> {
              handled.add(exchange.getRequestPath());
              spin(HANDLER_NANOS);
              exchange.endExchange();
            },
            FLOOD,
            withBudget(2 * CONNECTIONS + FLOOD),
            false)) {
      XnioIoThread thread = worker.getIoThread();
      thread.execute(() -> listener.takeOver(kept::poll));
      request(callers.get(0), "/first");
      readHead(callers.get(0));
      for (Socket caller : callers.subList(1, callers.size())) {
        request(caller, "/new");
      }
      thread.execute(
          () -> {
            request(callers.get(0), "/kept");
            listener.takeOver(flood::poll);
            repeatTimer(thread, ended);
          });
      readHead(callers.get(0));
    } finally {
      ended.set(true);
    }
    assertThat(List.copyOf(handled).indexOf("/kept"))
        .as("requests handled before the one on the open connection")
        .isBetween(0, 2 * PacedHttpListener.MAX_HANDLED_PER_PASS + 1);
  }

  /** Keeps a timer due at any time, as the timers of many requests do. */
  private static void repeatTimer(XnioIoThread thread, AtomicBoolean ended) {
    if (!ended.get()) {
      spin(TIMER_NANOS);
      thread.executeAfter(() -> repeatTimer(thread, ended), 1, TimeUnit.MILLISECONDS);
    }
  }

  private static void spin(long nanos) {
    long startNanos = System.nanoTime();
    while (System.nanoTime() - startNanos < nanos) {
      Thread.onSpinWait();
    }
  }

  private static void request(Socket caller, String path) {
    String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    try {
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads the head of a response without content. */
  private static String readHead(Socket caller) throws IOException {
    StringBuilder head = new StringBuilder();
    InputStream in = caller.getInputStream();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      assertThat(next).as("end of the connection after: " + head).isNotNegative();
      head.append((char) next);
    }
    return head.toString();
  }

  /** Guards against callers that wait for a router which cannot serve them yet. */
  @Test
  public void shouldRefuseNewConnectionsWithoutCallingTheHandler() throws Exception {
    Queue<StreamConnection> arrived = connectCallers(CONNECTIONS);
    AtomicInteger handled = new AtomicInteger();
    try (PacedHttpListener listener =
        listen(
            exchange -> handled.incrementAndGet(),
            CONNECTIONS,
            withBudget(2 * CONNECTIONS + FLOOD),
            true)) {
      worker.getIoThread().execute(() -> listener.takeOver(arrived::poll));
      for (Socket caller : callers) {
        request(caller, "/");
        assertThat(readHead(caller))
            .startsWith("HTTP/1.1 503 ")
            .contains("Retry-After: ")
            .contains("Connection: close");
      }
      assertThat(handled).hasValue(0);
      assertThat(listener.refusedCount()).isEqualTo(CONNECTIONS);
    }
  }

  /** Guards against whole requests that are neither answered nor refused. */
  @Test
  public void shouldRefuseRequestThatHasArrivedOnDisplacedConnection() throws Exception {
    Queue<StreamConnection> arrived = connectCallers(CONNECTIONS);
    for (Socket caller : callers) {
      request(caller, "/");
    }
    Thread.sleep(DELIVERY_MILLIS);
    try (PacedHttpListener listener =
        listen(HttpServerExchange::endExchange, FLOOD, withBudget(MAX_ARRIVED), false)) {
      worker.getIoThread().execute(() -> listener.takeOver(arrived::poll));
      for (int caller = 0; caller < CONNECTIONS; caller++) {
        boolean displaced = caller < CONNECTIONS - MAX_ARRIVED;
        assertThat(readHead(callers.get(caller)))
            .as("caller %d", caller)
            .startsWith(displaced ? "HTTP/1.1 503 " : "HTTP/1.1 200 ");
      }
    }
  }

  /** Guards against readiness checks whose kept connection is closed as if it were unused. */
  @Test
  public void shouldCountRequestsOfEveryHandlerAsUseOfTheirConnection() throws Exception {
    Queue<StreamConnection> arrived = connectCallers(1);
    AtomicLong clock = new AtomicLong();
    CallerConnections bounds = new CallerConnections(CONNECTIONS, clock::get);
    Socket caller = callers.get(0);
    try (PacedHttpListener listener =
        listen(HttpServerExchange::endExchange, MAX_ARRIVED, bounds, false)) {
      worker.getIoThread().execute(() -> listener.takeOver(arrived::poll));
      awaitIoThread();
      for (int check = 0; check < 4; check++) {
        clock.addAndGet(IDLE_NANOS - 1);
        request(caller, "/ready");
        assertThat(readHead(caller)).as("check %d", check).startsWith("HTTP/1.1 200 ");
        bounds.closeIdleFor(IDLE_NANOS);
        awaitIoThread();
      }
      clock.addAndGet(IDLE_NANOS);
      bounds.closeIdleFor(IDLE_NANOS);
      assertThat(caller.getInputStream().read()).as("end of an unused connection").isEqualTo(-1);
    }
  }

  private void awaitIoThread() throws Exception {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    worker.getIoThread().execute(() -> done.complete(true));
    done.get();
  }

  /** What callers do with their connections, and whether all new ones are refused. */
  @DataProvider
  public Object[][] floods() {
    return new Object[][] {{"", false}, {"GET / HTTP/1.1\r\n", false}, {"", true}};
  }

  /** Guards against connections that are silent, kept or refused and use up all descriptors. */
  @Test(dataProvider = "floods")
  public void shouldHoldNoMoreConnectionsThanItsBudget(String sent, boolean refusesAll)
      throws Exception {
    Queue<StreamConnection> flood = connectCallers(FLOOD);
    for (Socket caller : callers) {
      caller.getOutputStream().write(sent.getBytes(StandardCharsets.US_ASCII));
    }
    CallerConnections bounds = withBudget(CONNECTIONS);
    try (PacedHttpListener listener =
        listen(HttpServerExchange::endExchange, FLOOD, bounds, refusesAll)) {
      CompletableFuture<Integer> openCount = new CompletableFuture<>();
      worker
          .getIoThread()
          .execute(
              () -> {
                listener.takeOver(flood::poll);
                openCount.complete(bounds.budget().openCount());
              });
      assertThat(openCount.get()).isEqualTo(CONNECTIONS);
      assertThat(bounds.budget().gaveWayCount()).isEqualTo(FLOOD - CONNECTIONS);
      assertThat(countClosed()).isGreaterThanOrEqualTo(FLOOD - CONNECTIONS);
    }
  }

  /** Returns how many connections of callers the listener has closed. */
  private int countClosed() throws IOException {
    int closed = 0;
    for (Socket caller : callers) {
      caller.setSoTimeout(20);
      try {
        caller.getInputStream().readAllBytes();
        closed++;
      } catch (SocketTimeoutException e) {
        assertThat(caller.isClosed()).isFalse();
      } catch (SocketException e) {
        closed++;
      }
    }
    return closed;
  }

  private PacedHttpListener listen(
      HttpHandler handler, int maxArrived, CallerConnections bounds, boolean refusesAll)
      throws IOException {
    return new PacedHttpListener(
        ANY_PORT,
        handler,
        worker,
        new DefaultByteBufferPool(true, 1_024),
        OptionMap.EMPTY,
        maxArrived,
        bounds,
        () -> refusesAll);
  }

  private static CallerConnections withBudget(int maxOpen) {
    return new CallerConnections(maxOpen, System::nanoTime);
  }

  /** Connects callers at a server of the test, so that all of them arrive at the same time. */
  private Queue<StreamConnection> connectCallers(int count) throws Exception {
    Queue<StreamConnection> arrived = new ConcurrentLinkedQueue<>();
    AcceptingChannel<StreamConnection> server =
        worker.createStreamConnectionServer(
            ANY_PORT, channel -> acceptAll(channel, arrived), OptionMap.EMPTY);
    server.resumeAccepts();
    InetSocketAddress address = server.getLocalAddress(InetSocketAddress.class);
    for (int i = 0; i < count; i++) {
      Socket caller = new Socket(address.getAddress(), address.getPort());
      caller.setSoTimeout(TIMEOUT_MILLIS);
      callers.add(caller);
    }
    long startNanos = System.nanoTime();
    while (arrived.size() < count) {
      assertThat(System.nanoTime() - startNanos)
          .isLessThan(TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS));
      Thread.sleep(10);
    }
    IoUtils.safeClose(server);
    return arrived;
  }

  private static void acceptAll(
      AcceptingChannel<StreamConnection> channel, Queue<StreamConnection> arrived) {
    try {
      for (StreamConnection next = channel.accept(); next != null; next = channel.accept()) {
        arrived.add(next);
      }
    } catch (IOException e) {
      throw new IllegalStateException("A connection of the test could not be accepted.", e);
    }
  }

  /** Sends a request; returns whether it is handled, not refused, and the connection not closed. */
  private static boolean isAnswered(Socket caller) throws IOException {
    try {
      byte[] request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
      caller.getOutputStream().write(request);
      String start = new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
      return start.equals("HTTP/1.1 200");
    } catch (SocketException e) {
      return false;
    }
  }
}
