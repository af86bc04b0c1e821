package org.toucansaddle.coordination.internal.sharing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.toucansaddle.coordination.sharing.UpstreamSlots;

/** Grants free slots of a pool's upstreams to routers, one round. Not thread-safe. */
final class SlotGrants {

  private final Collection<RouterState> routers;
  private final Map<String, Integer> freeByUpstream = new HashMap<>();

  /** Counts what is free. */
  SlotGrants(
      Collection<RouterState> routers, Collection<UpstreamSlots> usable, PartitionShare share) {
    this.routers = routers;
    for (UpstreamSlots upstream : usable) {
      int left = share.allowedSlots(upstream.slots());
      for (RouterState router : routers) {
        left -= router.reservedSlots(upstream.id());
      }
      if (left > 0) {
        freeByUpstream.put(upstream.id(), left);
      }
    }
  }

  boolean hasFreeSlots() {
    return !freeByUpstream.isEmpty();
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

  private boolean grantOne(RouterState router) {
    Comparator<String> fewestOwn = Comparator.comparingInt(id -> -router.leasedSlots(id));
    Comparator<String> mostFree = Comparator.comparingInt(freeByUpstream::get);
    String chosen =
        freeByUpstream.keySet().stream()
            .max(mostFree.thenComparing(fewestOwn).thenComparing(id -> id))
            .orElse(null);
    if (chosen == null) {
      return false;
    }
    int held = router.reservedSlots(chosen);
    router.setLeasedSlots(chosen, router.leasedSlots(chosen) + 1);
    int left = freeByUpstream.get(chosen) + held - router.reservedSlots(chosen);
    if (left > 0) {
      freeByUpstream.put(chosen, left);
    } else {
      freeByUpstream.remove(chosen);
    }
    return true;
  }
}
