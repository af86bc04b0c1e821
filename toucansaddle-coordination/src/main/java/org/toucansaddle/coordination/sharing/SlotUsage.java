package org.toucansaddle.coordination.sharing;

/**
 * Slots of one upstream that a router uses or holds. Immutable.
 *
 * @param inFlight requests that use a slot
 * @param idle slots held without a request
 */
public record SlotUsage(int inFlight, int idle) {

  /** Usage without any slot. */
  public static final SlotUsage NONE = new SlotUsage(0, 0);

  /** Returns the slots that no other router may use. */
  public int total() {
    return inFlight + idle;
  }
}
