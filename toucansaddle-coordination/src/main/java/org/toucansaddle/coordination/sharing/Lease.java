package org.toucansaddle.coordination.sharing;

import java.util.Map;

/**
 * Slots that a router may use until the lease expires; replaces all earlier leases. Immutable.
 *
 * @param router router that gets the lease
 * @param epoch incarnation of the dispatcher
 * @param sequence number that rises with each changed lease of the epoch
 * @param validMillis time until it expires, in milliseconds
 * @param wanted whether another router waits, so that idle slots go back at once
 * @param slots slots by upstream id
 * @param upstreams the upstreams named in {@code slots}
 * @param quotas requests in flight by account number; accounts not named share what is left
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

  /** Returns whether two leases allow the same. */
  public boolean hasSameTermsAs(Lease other) {
    return contended == other.contended && slots.equals(other.slots) && quotas.equals(other.quotas);
  }
}
