package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.List;

/** Leaves out upstreams that lately did not answer as they should. Stateless and thread-safe. */
final class UpstreamHealth {

  private UpstreamHealth() {}

  /**
   * Returns the upstreams that are preferred.
   *
   * <p>Those that broke a response are left out unless all did: one faulty request may have broken
   * the responses of all, and those of others may be sound. Those with stuck requests are left out
   * unless they are more than half.
   *
   * @param reached upstreams that accept requests
   * @param repeatable whether the request may run again elsewhere if it gets stuck
   */
  static List<Upstream> preferred(List<Upstream> reached, boolean repeatable, long nowNanos) {
    List<Upstream> sound = reached.stream().filter(u -> !u.isAvoided(nowNanos)).toList();
    return withoutStuck(sound.isEmpty() ? reached : sound, repeatable, nowNanos);
  }

  private static List<Upstream> withoutStuck(
      List<Upstream> usable, boolean repeatable, long nowNanos) {
    List<Upstream> notPaused = new ArrayList<>();
    List<Upstream> healthy = new ArrayList<>();
    for (Upstream upstream : usable) {
      if (!upstream.hangDetector().isPaused(nowNanos)) {
        notPaused.add(upstream);
        if (repeatable || !upstream.hangDetector().isOnProbation(nowNanos)) {
          healthy.add(upstream);
        }
      }
    }
    if (healthy.size() * 2 >= usable.size()) {
      return healthy;
    }
    return notPaused.size() * 2 >= usable.size() ? notPaused : usable;
  }
}
