package org.toucansaddle.coordination.internal.sharing;

/**
 * The part of an upstream's slots that one side of a partition may use.
 *
 * <p>Members that a side does not hear may be dead, or serve on the other side. A side that hears
 * more than half of the roster leaves the other what that side may take; any other side takes no
 * more than its part. So the sides together never use more than there is. Immutable.
 *
 * @param heard routers of the roster that are heard
 * @param roster routers that there are, but for those that left by themselves
 */
record PartitionShare(int reachable, int members) {

  /** Returns how many of an upstream's slots this side may use. */
  int allowedSlots(int slots) {
    if (reachable >= members) {
      return slots;
    }
    int missing = members - reachable;
    boolean majority = 2 * reachable > members;
    return majority ? slots - slots * missing / members : slots * reachable / members;
  }
}
