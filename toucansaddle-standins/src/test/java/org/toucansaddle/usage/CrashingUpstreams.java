package org.toucansaddle.usage;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.xnio.IoUtils;

/**
 * Upstreams of a {@link LocalGateway} that crash when they run a request whose path ends with
 * {@code /crash}, whose query is {@link #DEADLY_QUERY}, or whose prompt has the part {@link
 * #DEADLY_PART}.
 *
 * <p>A crash closes the connection of that request, and the upstream starts again at once, at the
 * same address. If a down time is given, a crash closes all connections, and the upstream accepts
 * none and reports nothing until it starts again. Each upstream reports to all control daemons
 * every 300 ms. Thread-safe.
 */
final class CrashingUpstreams implements AutoCloseable {

  private static final int REPORT_MILLIS = 300;

  /** Id of a part of a prompt that crashes upstreams. */
  static final String DEADLY_PART = "deadly";

  /** End of a path that crashes upstreams some time after they began to run it. */
  static final String LATE_CRASH = "/late-crash";

  static final int LATE_CRASH_MILLIS = 400;

  /** End of a path of requests that are sound and take some time. */
  static final String SLOW = "/slow";

  private static final int SLOW_MILLIS = 150;

  /** Query that crashes upstreams. */
  static final String DEADLY_QUERY = "part=17";

  /** Header with the parts of a prompt. */
  static final String PROMPT_PARTS = "X-Prompt-Parts";

  /** Header in which a caller names the router that it sends the request to. */
  static final String SENT_TO = "X-Sent-To";

  /** A crash at a time of {@link System#nanoTime} under a request sent to a router. Immutable. */
  record Crash(long atNanos, String sentTo) {}

  /** How an upstream names itself after a crash. */
  enum Restart {
    SAME_ID,
    NEW_ID
  }

  private final LocalGateway gateway;
  private final Restart restart;
  private final long downMillis;
  private final List<CrashingUpstream> upstreams = new ArrayList<>();
  private final List<Crash> crashes = new CopyOnWriteArrayList<>();
  private final Queue<HttpServerExchange> heldRequests = new ConcurrentLinkedQueue<>();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean holding;
  private final ScheduledExecutorService reports = Executors.newSingleThreadScheduledExecutor();

  private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();

  CrashingUpstreams(LocalGateway gateway, int count, Restart restart) {
    this(gateway, count, restart, 0);
  }

  CrashingUpstreams(LocalGateway gateway, int count, Restart restart, long downMillis) {
    this.gateway = gateway;
    this.restart = restart;
    this.downMillis = downMillis;
    for (int index = 0; index < count; index++) {
      upstreams.add(new CrashingUpstream("u" + index));
    }
    reports.scheduleWithFixedDelay(this::report, 0, REPORT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the number of crashes so far. */
  int crashes() {
    return crashes.size();
  }

  /** Returns all crashes so far, in order. */
  List<Crash> crashLog() {
    return crashes;
  }

  /** Sets whether a request that would crash an upstream is held instead. */
  void setHolding(boolean value) {
    holding = value;
  }

  /** Returns the number of held requests. */
  int heldRequests() {
    return heldRequests.size();
  }

  /** Answers the held requests with a status. */
  void answerHeldRequests(int status) {
    for (HttpServerExchange held = heldRequests.poll(); held != null; held = heldRequests.poll()) {
      HttpServerExchange exchange = held;
      exchange.getIoThread().execute(() -> answer(exchange, status));
    }
  }

  private void report() {
    long current = sequence.incrementAndGet();
    for (CrashingUpstream upstream : upstreams) {
      if (!upstream.down) {
        gateway.reportToAll(upstream.createReport(current));
      }
    }
  }

  @Override
  public void close() throws InterruptedException {
    reports.shutdownNow();
    restarts.shutdownNow();
    restarts.awaitTermination(1, TimeUnit.MINUTES);
    upstreams.forEach(upstream -> upstream.server.stop());
  }

  /** One upstream: a server with one I/O thread, which alone increases the number of starts. */
  private final class CrashingUpstream {
    private final String name;
    private final AtomicInteger starts = new AtomicInteger(1);
    private final String address;
    private volatile Undertow server;
    private volatile boolean down;

    CrashingUpstream(String name) {
      this.name = name;
      this.server = startServer(0);
      InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
      this.address = "127.0.0.1:" + bound.getPort();
    }

    private Undertow startServer(int port) {
      Undertow started =
          Undertow.builder()
              .addHttpListener(port, "127.0.0.1")
              .setIoThreads(1)
              .setWorkerThreads(2)
              .setHandler(this::handle)
              .build();
      started.start();
      return started;
    }

    private void goDown() {
      down = true;
      restarts.execute(server::stop);
      restarts.schedule(this::comeBack, downMillis, TimeUnit.MILLISECONDS);
    }

    private void comeBack() {
      server = startServer(Integer.parseInt(address.substring(address.indexOf(':') + 1)));
      down = false;
      reports.execute(CrashingUpstreams.this::report);
    }

    private String id(int start) {
      return restart == Restart.SAME_ID ? name : name + "-" + start;
    }

    private UpstreamReport createReport(long reportSequence) {
      int start = starts.get();
      return new UpstreamReport(
          id(start), "desk", address, "z1", 6, State.READY, start, reportSequence);
    }

    private void handle(HttpServerExchange exchange) {
      String expected = exchange.getRequestHeaders().getFirst("X-Expect-Upstream");
      int start = starts.get();
      if (!id(start).equals(expected)) {
        repeatRequestId(exchange);
        exchange.setStatusCode(421);
      } else if (exchange.getRequestURI().endsWith(LATE_CRASH)) {
        exchange.dispatch(
            SameThreadExecutor.INSTANCE, () -> schedule(exchange, LATE_CRASH_MILLIS, this::crash));
      } else if (exchange.getRequestURI().endsWith(SLOW)) {
        exchange.dispatch(
            SameThreadExecutor.INSTANCE,
            () -> schedule(exchange, SLOW_MILLIS, held -> answer(held, 200)));
      } else if (!isDeadly(exchange)) {
        answer(exchange, 200);
      } else if (holding) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> heldRequests.add(exchange));
      } else {
        crash(exchange);
      }
    }

    /** Runs an action on the upstream's I/O thread after a time, unless it has crashed since. */
    private void schedule(
        HttpServerExchange exchange, int millis, Consumer<HttpServerExchange> action) {
      int start = starts.get();
      exchange
          .getIoThread()
          .executeAfter(
              () -> {
                if (starts.get() == start) {
                  action.accept(exchange);
                }
              },
              millis,
              TimeUnit.MILLISECONDS);
    }

    private void crash(HttpServerExchange exchange) {
      starts.incrementAndGet();
      String sentTo = exchange.getRequestHeaders().getFirst(SENT_TO);
      crashes.add(new Crash(System.nanoTime(), sentTo == null ? "" : sentTo));
      IoUtils.safeClose(exchange.getConnection());
      if (downMillis > 0) {
        goDown();
      } else {
        reports.execute(CrashingUpstreams.this::report);
      }
    }
  }

  private static boolean isDeadly(HttpServerExchange exchange) {
    String parts = exchange.getRequestHeaders().getFirst(PROMPT_PARTS);
    return exchange.getRequestURI().endsWith("/crash")
        || exchange.getQueryString().equals(DEADLY_QUERY)
        || (parts != null && parts.contains(DEADLY_PART));
  }

  private static void answer(HttpServerExchange exchange, int status) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(new HttpString("X-Answer-Seal"), "seal");
    repeatRequestId(exchange);
    exchange.getResponseSender().send("data: answer\n\n");
  }

  private static void repeatRequestId(HttpServerExchange exchange) {
    String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
    exchange.getResponseHeaders().put(new HttpString("X-Request-Id"), requestId);
  }
}
