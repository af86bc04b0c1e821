package org.toucansaddle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.admission.ReadLag;

/**
 * Decides whether a router takes new callers, from how far it is behind with reading requests.
 *
 * <p>A router that stays behind asks for none until it has caught up for a while, as long as at
 * most half of the routers of its availability zone, itself included, ask for none. If it does not
 * know of other routers there, it takes callers. While most routers of the zone are behind and few
 * elsewhere are, none of the zone asks for callers, so that they go to other zones. Thread-safe;
 * does no I/O.
 */
final class LoadReadiness {

  private static final long BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long CAUGHT_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /** Fraction of a zone's routers that are behind from which the zone gives way. */
  private static final double MIN_OVERLOADED_HERE = 0.6;

  /** Fraction of the routers elsewhere that are behind up to which they take more callers. */
  private static final double MAX_OVERLOADED_ELSEWHERE = 0.3;

  /** Since when every update agreed with the change that is pending; valid if there is one. */
  private long changePendingSince;

  private boolean changePending;
  private boolean overloaded;
  private boolean asksForNone;
  private boolean zoneGivesWay;

  /**
   * State of the routers of some availability zones, one router excluded. Immutable.
   *
   * @param routers known routers
   * @param behind those of them that ask for no new callers
   * @param overloaded those of them that are behind, whether or not they ask for callers
   */
  record ZoneState(int routers, int behind, int overloaded) {

    private boolean hasRoomFor(int otherRouters) {
      return routers >= otherRouters && overloaded <= MAX_OVERLOADED_ELSEWHERE * routers;
    }
  }

  /**
   * Updates the decision; called several times a second.
   *
   * @param now current time, in nanoseconds
   * @param lag average lag of the I/O threads, and the shortest target of all routes
   * @param failsCallers whether it fails callers for a reason of its own: since the last update it
   *     refused new connections that had waited too long, or it reaches hardly any upstream
   * @param zoneOfOthers the other routers of this zone
   * @param elsewhere the routers of other zones
   * @return whether the decision has changed
   */
  synchronized boolean update(
      long now, ReadLag lag, boolean failsCallers, ZoneState zoneOfOthers, ZoneState elsewhere) {
    boolean tookCallers = takesCallers();
    updateOverload(now, lag, failsCallers);
    if (!overloaded) {
      asksForNone = false;
    } else if (othersSuffice(zoneOfOthers)) {
      asksForNone = true;
    }
    int overloadedHere = zoneOfOthers.overloaded() + (overloaded ? 1 : 0);
    int routersHere = zoneOfOthers.routers() + 1;
    zoneGivesWay =
        overloadedHere >= MIN_OVERLOADED_HERE * routersHere && elsewhere.hasRoomFor(routersHere);
    return takesCallers() != tookCallers;
  }

  private void updateOverload(long now, ReadLag lag, boolean failsCallers) {
    boolean wantsChange =
        overloaded ? lag.hasCaughtUp() && !failsCallers : lag.isBehind() || failsCallers;
    if (!wantsChange) {
      changePending = false;
      return;
    }
    if (!changePending) {
      changePending = true;
      changePendingSince = now;
    }
    if (now - changePendingSince >= (overloaded ? CAUGHT_UP_NANOS : BEHIND_NANOS)) {
      overloaded = !overloaded;
      changePending = false;
    }
  }

  private static boolean othersSuffice(ZoneState others) {
    return 2 * (others.behind() + 1) <= others.routers() + 1;
  }

  /** Returns whether the router takes new callers. */
  synchronized boolean takesCallers() {
    return !asksForNone && !zoneGivesWay;
  }

  /** Returns whether the router is behind. */
  synchronized boolean isOverloaded() {
    return overloaded;
  }

  /** Returns whether all routers of the zone leave new callers to other zones. */
  synchronized boolean zoneGivesWay() {
    return zoneGivesWay;
  }
}
