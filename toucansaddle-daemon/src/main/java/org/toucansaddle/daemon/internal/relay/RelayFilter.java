package org.toucansaddle.daemon.internal.relay;

import java.util.function.Function;
import org.toucansaddle.daemon.internal.request.CallerRequest;
import org.toucansaddle.daemon.internal.request.FilterChain;
import org.toucansaddle.daemon.internal.request.RequestFilter;
import org.toucansaddle.daemon.internal.sharing.PoolKey;
import org.toucansaddle.daemon.internal.sharing.RouterPool;
import org.toucansaddle.protocol.generated.UpstreamKind;

/** Last filter: submits a model or service request to its pool. Thread-safe. */
public final class RelayFilter implements RequestFilter {

  private final RelayContext context;
  private final ActiveRequests activeRequests;
  private final Function<PoolKey, RouterPool> pools;

  /** Creates the filter. */
  public RelayFilter(
      RelayContext context, ActiveRequests activeRequests, Function<PoolKey, RouterPool> pools) {
    this.context = context;
    this.activeRequests = activeRequests;
    this.pools = pools;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    RouterPool pool = pools.apply(request.pool());
    context.retryBudgets().recordRequest(request.account().getNumber());
    RelayedRequest relayed =
        request.workClass().getKind() == UpstreamKind.MODEL
            ? new ModelRequest(request, pool, context, activeRequests)
            : new ServiceRequest(request, pool, context, activeRequests);
    activeRequests.add(relayed);
    pool.submit(relayed);
  }
}
