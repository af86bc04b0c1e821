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
 * What a dispatcher knows of one router.
 *
 * <p>Invariant: {@link #reservedSlots} is never less than what the router may use. Not thread-safe.
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
   * Takes a demand, unless a later one came before it.
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
      // A router that was forgotten goes on from the last lease it applied.
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
      int before = leasedTotal;
      leasedByUpstream.replaceAll((id, slots) -> Math.min(slots, usage(id).total()));
      leasedByUpstream.values().removeIf(slots -> slots == 0);
      updateLeasedTotal();
      releasedSinceLastLease |= leasedTotal < before;
    }
    leasedAtLastDemand = leasedTotal;
  }

  /** Plans nothing more for the router, which may be cut off; what it uses still counts. */
  void markUnresponsive() {
    demand = demand.withoutRequests();
    leasedByUpstream.clear();
    leasedTotal = 0;
    lastSentLease = null;
    unresponsive = true;
  }

  /** Counts nothing for the router any more, since its leases have expired. */
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
    Integer before =
        slots == 0 ? leasedByUpstream.remove(upstream) : leasedByUpstream.put(upstream, slots);
    leasedTotal += slots - (before == null ? 0 : before);
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

  /** Returns how many slots the router could use, as last heard. */
  int demandedSlots() {
    return demand.accounts().values().stream().mapToInt(AccountDemand::total).sum();
  }

  /** Returns how many requests waited at the last demand, less the slots granted since. */
  int ungrantedWaiting() {
    return Math.max(0, demand.waiting() - Math.max(0, leasedTotal() - leasedAtLastDemand));
  }

  /** Returns the slots of an upstream that this router may use now. */
  int reservedSlots(String upstream) {
    int promised = leasedSlots(upstream);
    for (Lease lease : unacknowledgedLeases) {
      promised = Math.max(promised, lease.slots().getOrDefault(upstream, 0));
    }
    return Math.max(promised, usage(upstream).total());
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

  /** Returns whether the router gave slots back since the last lease was sent. */
  boolean hasReleasedSlots() {
    return releasedSinceLastLease;
  }

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
