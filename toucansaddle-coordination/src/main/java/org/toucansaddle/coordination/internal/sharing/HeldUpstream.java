package org.toucansaddle.coordination.internal.sharing;

import org.toucansaddle.coordination.sharing.SlotUsage;
import org.toucansaddle.coordination.sharing.UpstreamSlots;

/** Slots of one upstream at a router. Not thread-safe. */
final class HeldUpstream {

  private UpstreamSlots info;
  private int slots;
  private int inFlight;
  private boolean blocked;

  HeldUpstream(UpstreamSlots info) {
    this.info = info;
  }

  UpstreamSlots info() {
    return info;
  }

  /** Replaces the number of slots and lifts a block. */
  void lease(UpstreamSlots newInfo, int newSlots) {
    if (newInfo != null) {
      info = newInfo;
    }
    slots = newSlots;
    blocked = false;
  }

  void block() {
    blocked = true;
  }

  int free() {
    return blocked ? 0 : Math.max(0, slots - inFlight);
  }

  int slots() {
    return slots;
  }

  int inFlight() {
    return inFlight;
  }

  void started() {
    inFlight++;
  }

  void finished() {
    inFlight--;
  }

  /** Gives up idle slots; returns whether there were any. */
  boolean releaseIdle() {
    boolean any = slots > inFlight;
    slots = Math.min(slots, inFlight);
    return any;
  }

  boolean isOver() {
    return inFlight > slots;
  }

  boolean isUnused() {
    return slots == 0 && inFlight == 0;
  }

  SlotUsage usage() {
    return new SlotUsage(inFlight, Math.max(0, slots - inFlight));
  }
}
