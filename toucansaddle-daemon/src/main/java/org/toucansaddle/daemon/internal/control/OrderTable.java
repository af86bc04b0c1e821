package org.toucansaddle.daemon.internal.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import org.toucansaddle.protocol.generated.IssuedOrder;
import org.toucansaddle.protocol.generated.PlacementOrder;

/**
 * The last order to each upstream, and the rate at which models are loaded.
 *
 * <p>Part of the control state: every replica holds the same, so the weight store's limit holds
 * over changes of the leader. Not thread-safe.
 */
final class OrderTable {

  private static final int MAX_ORDERS = 20_000;
  private static final long MIN_LOAD_INTERVAL_MILLIS = 5_000;

  private final LinkedHashMap<String, IssuedOrder> ordersByUpstream = new LinkedHashMap<>();
  private long lastLoadAtMillis = Long.MIN_VALUE / 2;

  /** Records an order; returns why not if the weight store's limit forbids it now. */
  Optional<String> issue(PlacementOrder order, long index, long nowMillis) {
    long wait = lastLoadAtMillis + MIN_LOAD_INTERVAL_MILLIS - nowMillis;
    if (wait > 0) {
      return Optional.of(
          "The weight store's rate limit allows the next load in " + wait + " ms. Ask again then.");
    }
    lastLoadAtMillis = nowMillis;
    put(
        IssuedOrder.newBuilder()
            .setOrder(order)
            .setFencing(index)
            .setIssuedAtMillis(nowMillis)
            .build());
    return Optional.empty();
  }

  private void put(IssuedOrder issued) {
    ordersByUpstream.remove(issued.getOrder().getUpstream());
    ordersByUpstream.put(issued.getOrder().getUpstream(), issued);
    if (ordersByUpstream.size() > MAX_ORDERS) {
      ordersByUpstream.remove(ordersByUpstream.keySet().iterator().next());
    }
  }

  Collection<IssuedOrder> snapshot() {
    return List.copyOf(ordersByUpstream.values());
  }

  void restore(List<IssuedOrder> stored) {
    ordersByUpstream.clear();
    lastLoadAtMillis = Long.MIN_VALUE / 2;
    for (IssuedOrder issued : stored) {
      put(issued);
      lastLoadAtMillis = Math.max(lastLoadAtMillis, issued.getIssuedAtMillis());
    }
  }
}
