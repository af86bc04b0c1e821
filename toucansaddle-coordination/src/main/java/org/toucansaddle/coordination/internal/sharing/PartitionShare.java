package org.toucansaddle.coordination.internal.sharing;

/**
 * The part of an upstream's slots that one side of a partition may use.
 *
 * <p>An unreachable member may have failed, or may run on the other side. A side with a majority of
 * the members leaves the unreachable ones their proportion, rounded down; any other side uses only
 * its own proportion, rounded down. So all sides together never use more slots than the upstream
 * has. Immutable.
 *
 * @param reachable number of members that this side reaches
 * @param members number of all routers, except those that left by themselves
 */
record PartitionShare(int reachable, int members) {

  /** Returns how many of an upstream's slots this side may use. */
  int allowedSlots(int slots) {
    if (reachable >= members) {
      return slots;
    }
    int unreachable = members - reachable;
    boolean majority = 2 * reachable > members;
    return majority ? slots - slots * unreachable / members : slots * reachable / members;
  }
}
