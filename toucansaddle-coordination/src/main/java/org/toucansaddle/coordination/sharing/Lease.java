package org.toucansaddle.coordination.sharing;

import java.util.Map;

/**
 * Slots that a router may use until the lease expires.
 *
 * <p>A lease replaces all earlier ones of the router. Immutable.
 *
 * @param router name of the router that holds the lease
 * @param epoch incarnation of the dispatcher
 * @param sequence number that increases with each changed lease of the epoch
 * @param validMillis validity from when it is applied, in milliseconds
 * @param contended whether requests wait and no slot is free, so that idle slots are released at
 *     once
 * @param slots slots by upstream id
 * @param upstreams the upstreams named in {@code slots}
 * @param quotas allowed requests in flight by account number; accounts without one use the slots
 *     that are left
 */
public record Lease(
    String router,
    long epoch,
    long sequence,
    int validMillis,
    boolean contended,
    Map<String, Integer> slots,
    Map<String, UpstreamSlots> upstreams,
    Map<Integer, Integer> quotas) {

  /** Copies the maps. */
  public Lease {
    slots = Map.copyOf(slots);
    upstreams = Map.copyOf(upstreams);
    quotas = Map.copyOf(quotas);
  }

  /** Returns whether another lease grants the same slots and quotas. */
  public boolean hasSameTermsAs(Lease other) {
    return contended == other.contended && slots.equals(other.slots) && quotas.equals(other.quotas);
  }
}
