package org.toucansaddle.coordination.internal.sharing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.toucansaddle.coordination.sharing.AccountDemand;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.RouterDemand;
import org.toucansaddle.coordination.sharing.SlotUsage;

/**
 * A dispatcher's view of one router.
 *
 * <p>Invariant: {@link #reservedSlots} is never less than the slots that the router may use. Times
 * are in milliseconds of the caller's clock. Not thread-safe.
 */
final class RouterState {

  private final String name;
  private final Map<String, Integer> leasedByUpstream = new HashMap<>();
  private RouterDemand demand;
  private long lastDemandAtMillis;
  private boolean unresponsive;
  private boolean releasedSinceLastLease;
  private int leasedTotal;
  private int leasedAtLastDemand;
  private final Deque<Lease> unacknowledgedLeases = new ArrayDeque<>();
  private long sequence;
  private Lease lastSentLease;
  private long lastSentAtMillis;

  RouterState(String name) {
    this.name = name;
  }

  String name() {
    return name;
  }

  /**
   * Applies a demand; one that is not newer than the last is ignored.
   *
   * <p>Slots held under another dispatcher's lease are adopted.
   */
  void update(RouterDemand next, long epoch, long now) {
    if (demand != null && isOlder(next)) {
      return;
    }
    boolean restarted = demand != null && demand.incarnation() != next.incarnation();
    if (restarted) {
      leasedByUpstream.clear();
      leasedTotal = 0;
      unacknowledgedLeases.clear();
      lastSentLease = null;
    }
    demand = next;
    lastDemandAtMillis = now;
    unresponsive = false;
    if (next.leaseEpoch() == epoch) {
      // This dispatcher may have evicted the router and lost its sequence number. A lower number
      // than that of the last lease applied would make the router ignore the next lease.
      sequence = Math.max(sequence, next.leaseSequence());
    }
    if (lastSentLease == null) {
      next.upstreams().forEach((id, usage) -> leasedByUpstream.put(id, usage.total()));
      updateLeasedTotal();
      leasedAtLastDemand = leasedTotal;
      return;
    }
    if (next.leaseEpoch() == epoch) {
      unacknowledgedLeases.removeIf(lease -> lease.sequence() <= next.leaseSequence());
    }
    if (unacknowledgedLeases.isEmpty()) {
      int previousTotal = leasedTotal;
      leasedByUpstream.replaceAll((id, slots) -> Math.min(slots, usage(id).total()));
      leasedByUpstream.values().removeIf(slots -> slots == 0);
      updateLeasedTotal();
      releasedSinceLastLease |= leasedTotal < previousTotal;
    }
    leasedAtLastDemand = leasedTotal;
  }

  /**
   * Removes the router's requests and leases from planning, because it may be partitioned.
   *
   * <p>The slots that it may still use stay reserved.
   */
  void markUnresponsive() {
    demand = demand.withoutRequests();
    leasedByUpstream.clear();
    leasedTotal = 0;
    lastSentLease = null;
    unresponsive = true;
  }

  /** Reserves no more slots for the router, because its leases have expired. */
  void expireLeases() {
    if (demand.upstreams().isEmpty() && unacknowledgedLeases.isEmpty()) {
      return;
    }
    demand = demand.withoutSlots();
    unacknowledgedLeases.clear();
  }

  boolean isUnresponsive() {
    return unresponsive;
  }

  private boolean isOlder(RouterDemand next) {
    if (next.incarnation() != demand.incarnation()) {
      return next.incarnation() < demand.incarnation();
    }
    return next.sequence() <= demand.sequence();
  }

  RouterDemand demand() {
    return demand;
  }

  Map<Integer, AccountDemand> accounts() {
    return demand.accounts();
  }

  long lastDemandAtMillis() {
    return lastDemandAtMillis;
  }

  SlotUsage usage(String upstream) {
    return demand.upstreams().getOrDefault(upstream, SlotUsage.NONE);
  }

  int leasedSlots(String upstream) {
    return leasedByUpstream.getOrDefault(upstream, 0);
  }

  void setLeasedSlots(String upstream, int slots) {
    Integer previous =
        slots == 0 ? leasedByUpstream.remove(upstream) : leasedByUpstream.put(upstream, slots);
    leasedTotal += slots - (previous == null ? 0 : previous);
  }

  Map<String, Integer> leasedByUpstream() {
    return leasedByUpstream;
  }

  int leasedTotal() {
    return leasedTotal;
  }

  private void updateLeasedTotal() {
    leasedTotal = leasedByUpstream.values().stream().mapToInt(slots -> slots).sum();
  }

  /** Returns how many slots the router could use by its last demand. */
  int demandedSlots() {
    return demand.accounts().values().stream().mapToInt(AccountDemand::total).sum();
  }

  /** Returns the requests waiting at the last demand minus the slots granted since. */
  int ungrantedWaiting() {
    return Math.max(0, demand.waiting() - Math.max(0, leasedTotal() - leasedAtLastDemand));
  }

  /**
   * Returns how many slots of an upstream the router may use now.
   *
   * <p>Until the router acknowledges a lease, it may still use any earlier one.
   */
  int reservedSlots(String upstream) {
    int reserved = leasedSlots(upstream);
    for (Lease lease : unacknowledgedLeases) {
      reserved = Math.max(reserved, lease.slots().getOrDefault(upstream, 0));
    }
    return Math.max(reserved, usage(upstream).total());
  }

  long nextSequence() {
    sequence++;
    return sequence;
  }

  Lease lastSentLease() {
    return lastSentLease;
  }

  long lastSentAtMillis() {
    return lastSentAtMillis;
  }

  /** Returns whether the router released slots since the last lease was sent. */
  boolean hasReleasedSlots() {
    return releasedSinceLastLease;
  }

  /** Records a sent lease, which stays unacknowledged until the router reports it as applied. */
  void recordSent(Lease lease, long now) {
    releasedSinceLastLease = false;
    lastSentLease = lease;
    lastSentAtMillis = now;
    boolean renewal =
        !unacknowledgedLeases.isEmpty() && unacknowledgedLeases.peekLast().equals(lease);
    boolean applied =
        demand.leaseEpoch() == lease.epoch() && demand.leaseSequence() >= lease.sequence();
    if (!renewal && !applied) {
      unacknowledgedLeases.addLast(lease);
    }
  }
}
