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
 * dispatcher.announced(upstream, now);
 * dispatcher.demanded(demand, now);
 * dispatcher.poll(now).forEach(lease -> send(lease.router(), lease));
 * }</pre>
 *
 * <p>Invariant: the slots of an upstream that routers may use never exceed what it announced, but
 * for work already running when it announced less. Not thread-safe.
 */
public interface PoolDispatcher {

  /** Creates a dispatcher that knows nothing yet; {@code now} in milliseconds. */
  static PoolDispatcher create(SharingSettings settings, long epoch, long now) {
    return new SlotDispatcher(settings, epoch, now);
  }

  /** Takes an upstream's announcement, received at {@code heardAt}. */
  void updateUpstream(UpstreamSlots upstream, long heardAt);

  /** Takes a router's demand. */
  void updateDemand(RouterDemand demand, long now);

  /** Sets the routers that are alive; the slots of others are freed when their lease expired. */
  void setLiveRouters(Set<String> routers, long now);

  /**
   * Tells which routers there are, also those that may be cut off; a router that left by itself is
   * not one of them.
   */
  void setMembers(Set<String> routers);

  /** Returns the leases to send now: changed ones, and renewals that are due. */
  List<Lease> poll(long now);

  /** Returns the upstreams that may get work at {@code now}. */
  Collection<UpstreamSlots> usableUpstreams(long now);

  /** Returns how many requests wait at all routers, as last heard. */
  int waiting();

  /** Returns how many requests run at all routers, as last heard. */
  int inFlight();

  /** Returns the largest difference of service between two backlogged accounts, in tokens. */
  double serviceGap();
}
