package org.toucansaddle.daemon.internal.request;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.toucansaddle.daemon.internal.problem.Problems;
import org.toucansaddle.http.RequestBody;

/** Reads the whole request body into memory, up to a limit. Thread-safe. */
public final class RequestBodyFilter implements RequestFilter {

  private final int maxBytes;

  /** Creates a filter that rejects bodies longer than {@code maxBytes}. */
  public RequestBodyFilter(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    HttpServerExchange exchange = request.exchange();
    if (exchange.getRequestContentLength() > maxBytes) {
      throw Problems.bodyTooLong(maxBytes);
    }
    RequestBody.read(
        exchange,
        maxBytes,
        bytes -> {
          request.setBody(bytes);
          exchange.dispatch(SameThreadExecutor.INSTANCE, () -> chain.next(request));
        },
        failure ->
            exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> chain.fail(request, Problems.bodyTooLong(maxBytes).problem())));
  }
}
