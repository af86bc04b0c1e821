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
import org.toucansaddle.daemon.internal.relay.ActiveRequests;
import org.toucansaddle.daemon.internal.relay.RelayContext;
import org.toucansaddle.daemon.internal.relay.RelayFilter;
import org.toucansaddle.daemon.internal.relay.RetryBudgets;
import org.toucansaddle.daemon.internal.relay.StrikeIsolation;
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

/**
 * Serves callers' requests of one daemon: HTTP server, filter chain and upstream client.
 *
 * <p>Thread-safe.
 */
final class RequestPipeline implements AutoCloseable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration MAX_IDLE = Duration.ofSeconds(20);
  private static final Duration MAX_AGE = Duration.ofMinutes(5);
  private static final int MAX_REPLY_BYTES = 32 << 20;

  private final DaemonSettings settings;
  private final XnioWorker worker;
  private final HttpClient client;
  private final FilterChain chain;
  private final CallerHandler callerHandler;
  private final RouterMetrics metrics = new RouterMetrics();
  private final AtomicInteger openExchanges = new AtomicInteger();

  RequestPipeline(
      DaemonSettings settings,
      ControlPlane plane,
      StrikeTable strikes,
      ActiveRequests activeRequests,
      ScheduledExecutorService timers,
      BooleanSupplier shuttingDown) {
    this.settings = settings;
    // Server and client share their I/O threads, so that an answer is relayed on a single thread.
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
            plane.serviceCounters(),
            strikes,
            new StrikeIsolation(),
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
                shuttingDown,
                MonotonicClock::millis),
            new RelayFilter(context, activeRequests, plane.sharing()::pool));
    this.chain = new FilterChain(filters, problems);
    String incarnation = Long.toString(plane.self().incarnation(), Character.MAX_RADIX);
    String idPrefix = plane.self().name() + "-" + incarnation;
    this.callerHandler = new CallerHandler(chain, idPrefix, MonotonicClock::millis);
    metrics.registerPeerTraffic(plane.clients().traffic());
    metrics.registerGauge(
        "toucansaddle_requests_under_way",
        "Requests under way at this router.",
        activeRequests::size);
  }

  Undertow startServer(Consumer<Announcement> onAnnouncement, BooleanSupplier ready) {
    HttpHandler paths =
        Handlers.path(this::countAndHandle)
            .addExactPath("/v1/upstreams/announce", new AnnouncementHandler(onAnnouncement))
            .addExactPath("/healthz", exchange -> sendText(exchange, 200, "ok\n"))
            .addExactPath("/readyz", exchange -> sendReadiness(exchange, ready.getAsBoolean()))
            .addExactPath("/metrics", exchange -> sendText(exchange, 200, metrics.text()));
    Undertow server =
        HttpListeners.add(Undertow.builder(), settings.listen().callers())
            .setWorker(worker)
            .setHandler(paths)
            .build();
    server.start();
    return server;
  }

  private void countAndHandle(HttpServerExchange exchange) {
    openExchanges.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (completed, next) -> {
          openExchanges.decrementAndGet();
          next.proceed();
        });
    callerHandler.handleRequest(exchange);
  }

  /** Returns whether any answer to a caller is not completely written. */
  boolean hasOpenExchanges() {
    return openExchanges.get() > 0;
  }

  private static void sendReadiness(HttpServerExchange exchange, boolean ready) {
    sendText(exchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }

  private static void sendText(HttpServerExchange exchange, int status, String body) {
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
