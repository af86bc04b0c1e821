package org.toucansaddle.coordination.internal.sharing;

import org.toucansaddle.coordination.sharing.SlotUsage;
import org.toucansaddle.coordination.sharing.UpstreamSlots;

/**
 * Slots of one upstream that a router holds under its lease.
 *
 * <p>More requests may be in flight than the lease allows after it became smaller. Not thread-safe.
 */
final class LeasedUpstream {

  private UpstreamSlots info;
  private int slots;
  private int inFlight;
  private boolean blocked;

  LeasedUpstream(UpstreamSlots info) {
    this.info = info;
  }

  UpstreamSlots info() {
    return info;
  }

  /** Sets the leased slots and unblocks the upstream; {@code newInfo} may be null if unchanged. */
  void updateLease(UpstreamSlots newInfo, int newSlots) {
    if (newInfo != null) {
      info = newInfo;
    }
    slots = newSlots;
    blocked = false;
  }

  void block() {
    blocked = true;
  }

  int freeSlots() {
    return blocked ? 0 : Math.max(0, slots - inFlight);
  }

  int slots() {
    return slots;
  }

  int inFlight() {
    return inFlight;
  }

  void acquireSlot() {
    inFlight++;
  }

  void releaseSlot() {
    inFlight--;
  }

  /** Releases idle slots; returns whether there were any. */
  boolean releaseIdleSlots() {
    boolean hadIdle = slots > inFlight;
    slots = Math.min(slots, inFlight);
    return hadIdle;
  }

  boolean exceedsLease() {
    return inFlight > slots;
  }

  boolean isUnused() {
    return slots == 0 && inFlight == 0;
  }

  SlotUsage usage() {
    return new SlotUsage(inFlight, Math.max(0, slots - inFlight));
  }
}
