package org.toucansaddle.coordination.internal.sharing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.toucansaddle.coordination.sharing.UpstreamSlots;

/**
 * One round of granting a pool's free slots to routers.
 *
 * <p>Invariant: a grant never raises the slots reserved at an upstream above its allowed slots. Not
 * thread-safe.
 */
final class SlotGrants {

  private final Collection<RouterState> routers;
  private final Map<String, Integer> freeByUpstream = new HashMap<>();

  /** Counts the slots of each usable upstream that no router may use. */
  SlotGrants(
      Collection<RouterState> routers, Collection<UpstreamSlots> usable, PartitionShare share) {
    this.routers = routers;
    for (UpstreamSlots upstream : usable) {
      int remaining = share.allowedSlots(upstream.slots());
      for (RouterState router : routers) {
        remaining -= router.reservedSlots(upstream.id());
      }
      if (remaining > 0) {
        freeByUpstream.put(upstream.id(), remaining);
      }
    }
  }

  /** Grants free slots to routers below their target, one at a time in turn. */
  void grantUpTo(Map<String, Integer> targets) {
    boolean granted = true;
    while (granted && !freeByUpstream.isEmpty()) {
      granted = false;
      for (RouterState router : routers) {
        if (router.leasedTotal() < targets.getOrDefault(router.name(), 0)) {
          granted |= grantOne(router);
        }
      }
    }
  }

  /** Grants a slot of the upstream with the most free slots; returns whether there was one. */
  private boolean grantOne(RouterState router) {
    Comparator<String> fewestLeased = Comparator.comparingInt(id -> -router.leasedSlots(id));
    Comparator<String> mostFree = Comparator.comparingInt(freeByUpstream::get);
    String chosen =
        freeByUpstream.keySet().stream()
            .max(mostFree.thenComparing(fewestLeased).thenComparing(id -> id))
            .orElse(null);
    if (chosen == null) {
      return false;
    }
    int previouslyReserved = router.reservedSlots(chosen);
    router.setLeasedSlots(chosen, router.leasedSlots(chosen) + 1);
    int remaining = freeByUpstream.get(chosen) + previouslyReserved - router.reservedSlots(chosen);
    if (remaining > 0) {
      freeByUpstream.put(chosen, remaining);
    } else {
      freeByUpstream.remove(chosen);
    }
    return true;
  }
}
