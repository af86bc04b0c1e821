package org.toucansaddle.daemon.internal.gateway.relay;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;
import org.toucansaddle.daemon.internal.gateway.routing.RoutingView;
import org.toucansaddle.daemon.internal.request.HeadSize;
import org.toucansaddle.http.ByteBudget;
import org.toucansaddle.http.NoRoomException;
import org.toucansaddle.http.RequestBody;

/**
 * Handles requests of callers: finds the route and the client account, reads the body, relays.
 *
 * <p>Thread-safe; each request stays on its connection's I/O thread.
 */
public final class GatewayHandler implements HttpHandler {

  private static final Logger LOG = LoggerFactory.getLogger("decision.relay");

  /** Retry delay during shutdown: short, since another router can serve the request at once. */
  private static final long SHUTDOWN_RETRY_AFTER_MILLIS = 50;

  /** Fraction of the heap for bodies; while one is read, twice its bytes and a copy are needed. */
  private static final double MAX_BODIES_HEAP_FRACTION = 0.16;

  private final RelayContext context;
  private final AtomicInteger requestsInFlight = new AtomicInteger();
  private final CallerConnections connections;
  private final ByteBudget bodies =
      new ByteBudget((long) (MAX_BODIES_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));

  private volatile boolean refusingNewRequests;

  /** Creates a handler. */
  public GatewayHandler(RelayContext context) {
    this.context = context;
    this.connections = context.connections();
    context
        .metrics()
        .registerGauge(
            "toucansaddle_gateway_body_bytes",
            "Bytes held of the bodies of requests under way.",
            bodies::heldBytes);
    context
        .metrics()
        .registerGauge(
            "toucansaddle_gateway_unread_bytes",
            "Bytes held of responses that callers have not taken.",
            context.unreadBudget()::heldBytes);
  }

  /** Returns the number of requests whose responses are not completely written. */
  public int requestsInFlight() {
    return requestsInFlight.get();
  }

  /** Refuses requests from now on and closes idle connections. */
  public void refuseNewRequests() {
    refusingNewRequests = true;
    connections.closeIdleFor(0);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    long startNanos = context.nowNanos();
    requestsInFlight.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          requestsInFlight.decrementAndGet();
          next.proceed();
        });
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> route(exchange, startNanos));
  }

  private void route(HttpServerExchange exchange, long startNanos) {
    RequestHead head = context.codec().readHead(exchange);
    if (refuseIfStopping(exchange, head)) {
      return;
    }
    Optional<RoutingView> view = context.state().view();
    if (view.isEmpty()) {
      refuse(exchange, head, ErrorResponse.noConfiguration());
      return;
    }
    Optional<Route> route = view.get().routes().find(head.host(), head.path());
    if (route.isEmpty()) {
      refuse(exchange, head, ErrorResponse.noRoute(head.host()));
      return;
    }
    Optional<String> account = findAccount(view.get(), route.get(), head);
    if (account.isEmpty()) {
      refuse(exchange, head, ErrorResponse.unknownKey());
      return;
    }
    if (context.refusesForLag(account.get(), head.isLikelyRetry(route.get()))) {
      refuse(exchange, head, ErrorResponse.routerBehind(context.retryAfterMillis(route.get())));
      return;
    }
    int maxHeadBytes = view.get().document().limits().maxHeaderBytes();
    if (HeadSize.of(exchange) > maxHeadBytes) {
      refuse(exchange, head, ErrorResponse.headTooLong(maxHeadBytes));
      return;
    }
    int maxBytes = view.get().document().limits().maxBodyBytes();
    if (exchange.getRequestContentLength() > maxBytes) {
      refuse(exchange, head, ErrorResponse.bodyTooLong(maxBytes));
      return;
    }
    RequestBody.read(
        exchange,
        maxBytes,
        bodies,
        bytes ->
            dispatchFromOrigin(
                exchange,
                head,
                route.get(),
                origin ->
                    new RelayedCall(
                        context,
                        exchange,
                        new CallRequest(head, route.get(), view.get(), account.get(), bytes),
                        origin,
                        startNanos)),
        failure ->
            exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> refuse(exchange, head, unread(route.get(), failure))));
  }

  private ErrorResponse unread(Route route, IOException failure) {
    return failure instanceof NoRoomException
        ? ErrorResponse.routerBehind(context.retryAfterMillis(route))
        : ErrorResponse.unreadableBody();
  }

  /**
   * Refuses a request while the router stops. Also called once the request is read: its body may
   * have taken so long that it would be cut at the end of the grace period.
   */
  private boolean refuseIfStopping(HttpServerExchange exchange, RequestHead head) {
    if (!refusingNewRequests) {
      return false;
    }
    ErrorResponse stopping =
        ErrorResponse.notRun(
            "stopping", "This router is shutting down.", SHUTDOWN_RETRY_AFTER_MILLIS);
    refuse(exchange, head, stopping);
    return true;
  }

  private void start(HttpServerExchange exchange, RequestHead head, RelayedCall call) {
    if (!refuseIfStopping(exchange, head)) {
      call.start();
    }
  }

  /** Relays a request; a stream that it takes up again goes on only where it began. */
  private void dispatchFromOrigin(
      HttpServerExchange exchange,
      RequestHead head,
      Route route,
      Function<Optional<StreamOrigin>, RelayedCall> callFactory) {
    if (!StreamReturn.isReturn(head, route)) {
      exchange.dispatch(
          SameThreadExecutor.INSTANCE,
          () -> start(exchange, head, callFactory.apply(Optional.empty())));
      return;
    }
    Consumer<StreamReturn.Found> relay =
        found ->
            found
                .refusal()
                .ifPresentOrElse(
                    error -> refuse(exchange, head, error),
                    () -> start(exchange, head, callFactory.apply(found.origin())));
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            new StreamReturn(context, head, route)
                .findOrigin()
                .thenAccept(found -> exchange.getIoThread().execute(() -> relay.accept(found))));
  }

  private static Optional<String> findAccount(RoutingView view, Route route, RequestHead head) {
    if (route.open() || !view.document().requiresKeys()) {
      return Optional.of("");
    }
    return view.account(head.credential());
  }

  private void refuse(HttpServerExchange exchange, RequestHead head, ErrorResponse error) {
    LOG.info(
        "refused request={} host={} path={} configuration={} status={} outcome={}",
        head.requestId(),
        head.host(),
        head.path(),
        context.state().version(),
        error.status(),
        error.type());
    context.metrics().recordRequest("", error.type());
    ErrorResponseWriter.send(exchange, head.requestId(), error, context.closesConnections());
  }
}
