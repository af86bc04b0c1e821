package org.toucansaddle.coordination.sharing;

/** How a pool's slots are shared. */
public enum SharingMode {
  /** Slots follow demand across the fleet, and accounts get equal service fleet-wide. */
  FLEET,
  /**
   * Each router gets an equal part of the slots and is fair by itself; the baseline for comparison.
   */
  LOCAL
}
