package org.toucansaddle.coordination.internal.sharing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.toucansaddle.coordination.sharing.UpstreamSlots;

/** Grants free slots of a pool's upstreams to routers, one round. Not thread-safe. */
final class SlotGrants {

  private final Collection<RouterState> routers;
  private final Map<String, Integer> free = new HashMap<>();

  /** Counts what is free. */
  SlotGrants(Collection<RouterState> routers, Collection<UpstreamSlots> usable, RosterShare share) {
    this.routers = routers;
    for (UpstreamSlots upstream : usable) {
      int left = share.of(upstream.slots());
      for (RouterState router : routers) {
        left -= router.held(upstream.id());
      }
      if (left > 0) {
        free.put(upstream.id(), left);
      }
    }
  }

  boolean anyFree() {
    return !free.isEmpty();
  }

  /** Grants free slots to routers below their target, one at a time in turn. */
  void grow(Map<String, Integer> targets) {
    boolean granted = true;
    while (granted && !free.isEmpty()) {
      granted = false;
      for (RouterState router : routers) {
        if (router.leasedTotal() < targets.getOrDefault(router.name(), 0)) {
          granted |= grantOne(router);
        }
      }
    }
  }

  private boolean grantOne(RouterState router) {
    Comparator<String> fewestOwn = Comparator.comparingInt(id -> -router.leased(id));
    Comparator<String> mostFree = Comparator.comparingInt(free::get);
    String chosen =
        free.keySet().stream()
            .max(mostFree.thenComparing(fewestOwn).thenComparing(id -> id))
            .orElse(null);
    if (chosen == null) {
      return false;
    }
    int held = router.held(chosen);
    router.setLeased(chosen, router.leased(chosen) + 1);
    int left = free.get(chosen) + held - router.held(chosen);
    if (left > 0) {
      free.put(chosen, left);
    } else {
      free.remove(chosen);
    }
    return true;
  }
}
