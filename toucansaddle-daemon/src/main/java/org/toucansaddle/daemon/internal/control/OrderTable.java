package org.toucansaddle.daemon.internal.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import org.toucansaddle.protocol.generated.IssuedOrder;
import org.toucansaddle.protocol.generated.PlacementOrder;

/**
 * Most recent placement order for each upstream, and the rate limit for loading models.
 *
 * <p>Part of the replicated control state and identical on every replica, so the weight store's
 * rate limit also holds across leader changes. Not thread-safe.
 */
final class OrderTable {

  private static final int MAX_ORDERS = 20_000;
  private static final long MIN_LOAD_INTERVAL_MILLIS = 5_000;

  private final LinkedHashMap<String, IssuedOrder> ordersByUpstream = new LinkedHashMap<>();
  private long lastLoadAtMillis = Long.MIN_VALUE / 2;

  /**
   * Records an order.
   *
   * @return empty if the order was recorded; otherwise why the weight store's rate limit refuses it
   */
  Optional<String> issue(PlacementOrder order, long index, long nowMillis) {
    long waitMillis = lastLoadAtMillis + MIN_LOAD_INTERVAL_MILLIS - nowMillis;
    if (waitMillis > 0) {
      return Optional.of(
          "The weight store's rate limit allows the next load in "
              + waitMillis
              + " ms. Retry then.");
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

  private void put(IssuedOrder issuedOrder) {
    ordersByUpstream.remove(issuedOrder.getOrder().getUpstream());
    ordersByUpstream.put(issuedOrder.getOrder().getUpstream(), issuedOrder);
    if (ordersByUpstream.size() > MAX_ORDERS) {
      ordersByUpstream.remove(ordersByUpstream.keySet().iterator().next());
    }
  }

  Collection<IssuedOrder> snapshot() {
    return List.copyOf(ordersByUpstream.values());
  }

  void restore(List<IssuedOrder> storedOrders) {
    ordersByUpstream.clear();
    lastLoadAtMillis = Long.MIN_VALUE / 2;
    for (IssuedOrder issuedOrder : storedOrders) {
      put(issuedOrder);
      lastLoadAtMillis = Math.max(lastLoadAtMillis, issuedOrder.getIssuedAtMillis());
    }
  }
}
