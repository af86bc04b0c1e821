package org.toucansaddle.coordination.sharing;

import java.util.Map;

/**
 * What a router tells a pool's dispatcher. Immutable.
 *
 * @param router name of the router
 * @param incarnation number that rises with each start of the router
 * @param sequence number that rises with each demand of the incarnation
 * @param leaseEpoch epoch of the lease that the router has applied last
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

  /** Returns this demand without any request. */
  public RouterDemand withoutRequests() {
    return new RouterDemand(
        router, incarnation, sequence, leaseEpoch, leaseSequence, Map.of(), upstreams, service);
  }

  /** Returns this demand without any slot. */
  public RouterDemand withoutSlots() {
    return new RouterDemand(
        router, incarnation, sequence, leaseEpoch, leaseSequence, accounts, Map.of(), service);
  }

  /** Returns how many requests wait. */
  public int waiting() {
    return accounts.values().stream().mapToInt(AccountDemand::waiting).sum();
  }
}
