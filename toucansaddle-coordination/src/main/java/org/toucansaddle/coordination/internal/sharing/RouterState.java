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
 * <p>Invariant: {@link #held} is never less than what the router may use. Not thread-safe.
 */
final class RouterState {

  private final String name;
  private final Map<String, Integer> leased = new HashMap<>();
  private RouterDemand demand;
  private long heardAt;
  private boolean silent;
  private boolean gaveBack;
  private int leasedTotal;
  private int leasedAtDemand;
  private final Deque<Lease> unacknowledged = new ArrayDeque<>();
  private long sequence;
  private Lease lastSent;
  private long lastSentAt;

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
      leased.clear();
      leasedTotal = 0;
      unacknowledged.clear();
      lastSent = null;
    }
    demand = next;
    heardAt = now;
    silent = false;
    if (next.leaseEpoch() == epoch) {
      // A router that was forgotten goes on from the last lease it applied.
      sequence = Math.max(sequence, next.leaseSequence());
    }
    if (lastSent == null) {
      next.upstreams().forEach((id, usage) -> leased.put(id, usage.total()));
      countLeased();
      leasedAtDemand = leasedTotal;
      return;
    }
    if (next.leaseEpoch() == epoch) {
      unacknowledged.removeIf(lease -> lease.sequence() <= next.leaseSequence());
    }
    if (unacknowledged.isEmpty()) {
      int before = leasedTotal;
      leased.replaceAll((id, slots) -> Math.min(slots, usage(id).total()));
      leased.values().removeIf(slots -> slots == 0);
      countLeased();
      gaveBack |= leasedTotal < before;
    }
    leasedAtDemand = leasedTotal;
  }

  /** Plans nothing more for the router, which may be cut off; what it uses still counts. */
  void fellSilent() {
    demand = demand.withoutAccounts();
    leased.clear();
    leasedTotal = 0;
    lastSent = null;
    silent = true;
  }

  /** Counts nothing for the router any more, since its leases have expired. */
  void leasesExpired() {
    if (demand.upstreams().isEmpty() && unacknowledged.isEmpty()) {
      return;
    }
    demand = demand.withoutUpstreams();
    unacknowledged.clear();
  }

  boolean isSilent() {
    return silent;
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

  long heardAt() {
    return heardAt;
  }

  SlotUsage usage(String upstream) {
    return demand.upstreams().getOrDefault(upstream, SlotUsage.NONE);
  }

  int leased(String upstream) {
    return leased.getOrDefault(upstream, 0);
  }

  void setLeased(String upstream, int slots) {
    Integer before = slots == 0 ? leased.remove(upstream) : leased.put(upstream, slots);
    leasedTotal += slots - (before == null ? 0 : before);
  }

  Map<String, Integer> leasedSlots() {
    return leased;
  }

  int leasedTotal() {
    return leasedTotal;
  }

  private void countLeased() {
    leasedTotal = leased.values().stream().mapToInt(slots -> slots).sum();
  }

  /** Returns how many slots the router could use, as last heard. */
  int wantedSlots() {
    return demand.accounts().values().stream().mapToInt(AccountDemand::total).sum();
  }

  /** Returns how many requests waited at the last demand, less the slots granted since. */
  int unservedWaiting() {
    return Math.max(0, demand.waiting() - Math.max(0, leasedTotal() - leasedAtDemand));
  }

  /** Returns the slots of an upstream that this router may use now. */
  int held(String upstream) {
    int promised = leased(upstream);
    for (Lease lease : unacknowledged) {
      promised = Math.max(promised, lease.slots().getOrDefault(upstream, 0));
    }
    return Math.max(promised, usage(upstream).total());
  }

  long nextSequence() {
    sequence++;
    return sequence;
  }

  Lease lastSent() {
    return lastSent;
  }

  long lastSentAt() {
    return lastSentAt;
  }

  /** Returns whether the router gave slots back since the last lease was sent. */
  boolean gaveBack() {
    return gaveBack;
  }

  void sent(Lease lease, long now) {
    gaveBack = false;
    lastSent = lease;
    lastSentAt = now;
    boolean renewal = !unacknowledged.isEmpty() && unacknowledged.peekLast().equals(lease);
    boolean applied =
        demand.leaseEpoch() == lease.epoch() && demand.leaseSequence() >= lease.sequence();
    if (!renewal && !applied) {
      unacknowledged.addLast(lease);
    }
  }
}
