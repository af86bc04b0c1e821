package org.toucansaddle.daemon.internal.relay;

import java.util.function.Function;
import org.toucansaddle.daemon.internal.request.CallerRequest;
import org.toucansaddle.daemon.internal.request.FilterChain;
import org.toucansaddle.daemon.internal.request.RequestFilter;
import org.toucansaddle.daemon.internal.sharing.PoolKey;
import org.toucansaddle.daemon.internal.sharing.RouterPool;
import org.toucansaddle.protocol.generated.UpstreamKind;

/** Last filter: queues a request in its pool, as a model request or a service call. Thread-safe. */
public final class RelayFilter implements RequestFilter {

  private final RelayContext context;
  private final ActiveRequests watch;
  private final Function<PoolKey, RouterPool> pools;

  /** Creates the filter. */
  public RelayFilter(
      RelayContext context, ActiveRequests watch, Function<PoolKey, RouterPool> pools) {
    this.context = context;
    this.watch = watch;
    this.pools = pools;
  }

  @Override
  public void filter(CallerRequest request, FilterChain chain) {
    RouterPool pool = pools.apply(request.pool());
    context.retryBudgets().recordRequest(request.account().getNumber());
    RelayedRequest relayed =
        request.workClass().getKind() == UpstreamKind.MODEL
            ? new ModelRequest(request, pool, context, watch)
            : new ServiceRequest(request, pool, context, watch);
    watch.add(relayed);
    pool.submit(relayed);
  }
}
