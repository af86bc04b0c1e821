package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.protocol.generated.ServicePart;

/**
 * This router's parts in the limits of upstreams, as a control daemon last computed them.
 * Immutable.
 *
 * @param byService fraction of the limits, from 0 to 1, by service
 * @param receivedAtNanos time of receipt
 */
record LimitFractions(Map<String, Double> byService, long receivedAtNanos) {

  /** Age up to which the parts are used; the other routers share the limit anew after that. */
  private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

  static final LimitFractions NONE = new LimitFractions(Map.of(), 0);

  static LimitFractions of(List<ServicePart> parts, long nowNanos) {
    Map<String, Double> fractions = new HashMap<>();
    for (ServicePart part : parts) {
      double fraction = part.getFraction();
      if (fraction > 0 && fraction <= 1) {
        fractions.put(part.getService(), fraction);
      }
    }
    return new LimitFractions(Map.copyOf(fractions), nowNanos);
  }

  /** Returns the part in limits of a service; empty if it is unknown or too old. */
  Optional<Double> find(String service, long nowNanos) {
    return nowNanos - receivedAtNanos <= MAX_AGE_NANOS
        ? Optional.ofNullable(byService.get(service))
        : Optional.empty();
  }
}
