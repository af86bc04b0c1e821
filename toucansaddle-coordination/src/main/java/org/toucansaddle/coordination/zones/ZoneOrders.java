package org.toucansaddle.coordination.zones;

import java.util.Set;
import java.util.TreeSet;

/**
 * Availability zones out of service, as operators ordered it.
 *
 * <pre>{@code
 * ZoneOrders orders = ZoneOrders.none().apply(new ZoneOrder("zone-a", true));
 * }</pre>
 *
 * <p>Each order that changes something raises the revision; an order that is sent again does not,
 * and neither does one that would take out more than {@link #MAX_OUT_OF_SERVICE}. Immutable.
 *
 * @param revision number of the last change; 0 if there was none
 * @param outOfService names of the zones out of service
 */
public record ZoneOrders(long revision, Set<String> outOfService) {

  /** Largest number of zones out of service; names are not checked, so that mistakes add up. */
  public static final int MAX_OUT_OF_SERVICE = 256;

  private static final ZoneOrders NONE = new ZoneOrders(0, Set.of());

  /** Copies the names. */
  public ZoneOrders {
    outOfService = Set.copyOf(outOfService);
  }

  /** Returns the state before the first order. */
  public static ZoneOrders none() {
    return NONE;
  }

  /** Returns the state after an order. */
  public ZoneOrders apply(ZoneOrder order) {
    boolean isFull = order.outOfService() && outOfService.size() >= MAX_OUT_OF_SERVICE;
    if (isFull || includes(order)) {
      return this;
    }
    Set<String> names = new TreeSet<>(outOfService);
    if (order.outOfService()) {
      names.add(order.zone());
    } else {
      names.remove(order.zone());
    }
    return new ZoneOrders(revision + 1, names);
  }

  /** Returns whether an order has taken effect; right after it, it has unless it was refused. */
  public boolean includes(ZoneOrder order) {
    return isOutOfService(order.zone()) == order.outOfService();
  }

  /** Returns whether nothing may be sent to the upstreams of a zone. */
  public boolean isOutOfService(String zone) {
    return outOfService.contains(zone);
  }
}
