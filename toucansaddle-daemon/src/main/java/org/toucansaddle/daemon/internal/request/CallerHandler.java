package org.toucansaddle.daemon.internal.request;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Assigns an id to each caller's request and passes it to the filter chain. Thread-safe. */
public final class CallerHandler implements HttpHandler {

  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

  private final FilterChain chain;
  private final String idPrefix;
  private final LongSupplier clock;
  private final AtomicLong nextId = new AtomicLong(1);

  /**
   * Creates a handler.
   *
   * @param idPrefix prefix of request ids; must be unique to this run of this daemon
   * @param clock monotonic time in milliseconds
   */
  public CallerHandler(FilterChain chain, String idPrefix, LongSupplier clock) {
    this.chain = chain;
    this.idPrefix = idPrefix;
    this.clock = clock;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String id = idPrefix + "-" + nextId.getAndIncrement();
    CallerRequest request = new CallerRequest(exchange, id, clock.getAsLong());
    exchange.getResponseHeaders().put(REQUEST_ID, id);
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> chain.next(request));
  }
}
