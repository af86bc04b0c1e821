package org.toucansaddle.coordination.sharing;

import java.util.Map;

/**
 * Demand and slot usage that a router reports to a pool's dispatcher. Immutable.
 *
 * @param router name of the router
 * @param incarnation number that increases with each start of the router
 * @param sequence number that increases with each demand of the incarnation
 * @param leaseEpoch epoch of the lease that the router applied last
 * @param leaseSequence sequence number of that lease
 * @param accounts demand by account number
 * @param upstreams slots used or held by upstream id
 * @param service running totals of service by account number, in tokens
 */
public record RouterDemand(
    String router,
    long incarnation,
    long sequence,
    long leaseEpoch,
    long leaseSequence,
    Map<Integer, AccountDemand> accounts,
    Map<String, SlotUsage> upstreams,
    Map<Integer, Long> service) {

  /** Copies the maps. */
  public RouterDemand {
    accounts = Map.copyOf(accounts);
    upstreams = Map.copyOf(upstreams);
    service = Map.copyOf(service);
  }

  /** Returns a copy without requests. */
  public RouterDemand withoutRequests() {
    return new RouterDemand(
        router, incarnation, sequence, leaseEpoch, leaseSequence, Map.of(), upstreams, service);
  }

  /** Returns a copy without slots. */
  public RouterDemand withoutSlots() {
    return new RouterDemand(
        router, incarnation, sequence, leaseEpoch, leaseSequence, accounts, Map.of(), service);
  }

  /** Returns how many requests wait for a slot. */
  public int waiting() {
    return accounts.values().stream().mapToInt(AccountDemand::waiting).sum();
  }
}
