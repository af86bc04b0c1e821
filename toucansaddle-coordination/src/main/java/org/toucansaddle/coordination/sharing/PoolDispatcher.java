package org.toucansaddle.coordination.sharing;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.toucansaddle.coordination.internal.sharing.SlotDispatcher;

/**
 * Leases the slots of one pool's upstreams to routers.
 *
 * <pre>{@code
 * PoolDispatcher dispatcher = PoolDispatcher.create(SharingSettings.defaults(), epoch, now);
 * dispatcher.updateUpstream(upstream, now);
 * dispatcher.updateDemand(demand, now);
 * dispatcher.poll(now).forEach(lease -> send(lease.router(), lease));
 * }</pre>
 *
 * <p>Invariant: the slots of an upstream that routers may use never exceed the slots it announced,
 * except for requests that were already in flight when it announced fewer. Times are in
 * milliseconds of the caller's clock. Not thread-safe.
 */
public interface PoolDispatcher {

  /**
   * Creates a dispatcher without any state.
   *
   * @param epoch incarnation of the dispatcher; part of each lease
   */
  static PoolDispatcher create(SharingSettings settings, long epoch, long now) {
    return new SlotDispatcher(settings, epoch, now);
  }

  /** Applies an upstream's announcement; one of an earlier incarnation is ignored. */
  void updateUpstream(UpstreamSlots upstream, long receivedAtMillis);

  /** Applies a router's demand; one that is not newer than the last is ignored. */
  void updateDemand(RouterDemand demand, long now);

  /** Sets the routers that are alive; slots of others are freed when their leases expire. */
  void setLiveRouters(Set<String> routers, long now);

  /**
   * Sets all routers of the fleet, including those that may be partitioned; a router that left by
   * itself is not a member.
   */
  void setMembers(Set<String> routers);

  /** Returns the leases to send now: changed ones, and renewals that are due. */
  List<Lease> poll(long now);

  /** Returns the upstreams that accept new requests at {@code now}. */
  Collection<UpstreamSlots> usableUpstreams(long now);

  /** Returns how many requests wait at all routers, by their last demands. */
  int waiting();

  /** Returns how many requests are in flight at all routers, by their last demands. */
  int inFlight();

  /** Returns the largest difference in service between two backlogged accounts, in tokens. */
  double serviceGap();
}
