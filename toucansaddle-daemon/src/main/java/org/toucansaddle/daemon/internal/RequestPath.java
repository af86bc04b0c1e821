package org.toucansaddle.daemon.internal;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.toucansaddle.coordination.retry.StrikeTable;
import org.toucansaddle.daemon.internal.metrics.RouterMetrics;
import org.toucansaddle.daemon.internal.relay.RelayContext;
import org.toucansaddle.daemon.internal.relay.RequestRelay;
import org.toucansaddle.daemon.internal.relay.RequestWatch;
import org.toucansaddle.daemon.internal.relay.RetryBudgets;
import org.toucansaddle.daemon.internal.relay.StruckUpstreams;
import org.toucansaddle.daemon.internal.request.AdmissionFilter;
import org.toucansaddle.daemon.internal.request.AnnouncementHandler;
import org.toucansaddle.daemon.internal.request.AuthenticationFilter;
import org.toucansaddle.daemon.internal.request.CallerHandler;
import org.toucansaddle.daemon.internal.request.FilterChain;
import org.toucansaddle.daemon.internal.request.IdempotencyFilter;
import org.toucansaddle.daemon.internal.request.ProblemWriter;
import org.toucansaddle.daemon.internal.request.QuarantineFilter;
import org.toucansaddle.daemon.internal.request.RequestBodyFilter;
import org.toucansaddle.daemon.internal.request.RequestFilter;
import org.toucansaddle.daemon.internal.request.SlotHoldTimes;
import org.toucansaddle.daemon.internal.request.WorkClassFilter;
import org.toucansaddle.daemon.settings.DaemonSettings;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.protocol.generated.Announcement;
import org.xnio.XnioWorker;

/** The way of callers' requests through one daemon: server, filters, client. Thread-safe. */
final class RequestPath implements AutoCloseable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration MAX_IDLE = Duration.ofSeconds(20);
  private static final Duration MAX_AGE = Duration.ofMinutes(5);
  private static final int MAX_REPLY_BYTES = 32 << 20;

  private final DaemonSettings settings;
  private final XnioWorker worker;
  private final HttpClient client;
  private final FilterChain chain;
  private final CallerHandler callers;
  private final RouterMetrics metrics = new RouterMetrics();
  private final AtomicInteger open = new AtomicInteger();

  RequestPath(
      DaemonSettings settings,
      ControlPlane plane,
      StrikeTable strikes,
      RequestWatch watch,
      ScheduledExecutorService timers,
      BooleanSupplier refusing) {
    this.settings = settings;
    // Server and client share their threads, so an answer is relayed on one thread.
    this.worker = IoThreads.start(settings.limits().ioThreads());
    this.client =
        HttpClient.createWithWorker(
            worker,
            new HttpClientSettings(
                settings.limits().ioThreads(),
                CONNECT_TIMEOUT,
                MAX_IDLE,
                MAX_AGE,
                MAX_REPLY_BYTES));
    SlotHoldTimes holdingTimes = new SlotHoldTimes();
    ProblemWriter problems = new ProblemWriter(metrics);
    RelayContext context =
        new RelayContext(
            client,
            plane.service(),
            strikes,
            new StruckUpstreams(),
            new RetryBudgets(),
            holdingTimes,
            problems,
            metrics,
            timers,
            MonotonicClock::millis,
            settings.limits().stallMillis(),
            plane::announceStrikes);
    List<RequestFilter> filters =
        List.of(
            new AuthenticationFilter(plane.holder()),
            new RequestBodyFilter(settings.limits().maxBodyBytes()),
            new WorkClassFilter(plane.holder()),
            new QuarantineFilter(strikes, MonotonicClock::millis),
            new IdempotencyFilter(plane.self(), plane.controlClient(), plane.directory()),
            new AdmissionFilter(
                plane.sharing()::pool,
                holdingTimes,
                settings.limits().maxQueuedPerAccount(),
                refusing,
                MonotonicClock::millis),
            new RequestRelay(context, watch, plane.sharing()::pool));
    this.chain = new FilterChain(filters, problems);
    String start = Long.toString(plane.self().incarnation(), Character.MAX_RADIX);
    String idPrefix = plane.self().name() + "-" + start;
    this.callers = new CallerHandler(chain, idPrefix, MonotonicClock::millis);
    metrics.peerTraffic(plane.clients().traffic());
    metrics.gauge(
        "toucansaddle_requests_under_way", "Requests under way at this router.", watch::size);
  }

  Undertow startServer(Consumer<Announcement> onAnnouncement, BooleanSupplier ready) {
    HttpHandler paths =
        Handlers.path(this::countAndHandle)
            .addExactPath("/v1/upstreams/announce", new AnnouncementHandler(onAnnouncement))
            .addExactPath("/healthz", exchange -> text(exchange, 200, "ok\n"))
            .addExactPath("/readyz", exchange -> readiness(exchange, ready.getAsBoolean()))
            .addExactPath("/metrics", exchange -> text(exchange, 200, metrics.text()));
    Undertow server =
        Addresses.listen(Undertow.builder(), settings.listen().callers())
            .setWorker(worker)
            .setHandler(paths)
            .build();
    server.start();
    return server;
  }

  private void countAndHandle(HttpServerExchange exchange) {
    open.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          open.decrementAndGet();
          next.proceed();
        });
    callers.handleRequest(exchange);
  }

  /** Returns whether an answer has not been written to the end yet. */
  boolean isWriting() {
    return open.get() > 0;
  }

  private static void readiness(HttpServerExchange exchange, boolean ready) {
    text(exchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }

  private static void text(HttpServerExchange exchange, int status, String body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
    exchange.getResponseSender().send(body);
  }

  @Override
  public void close() {
    client.close();
    worker.shutdownNow();
  }
}
