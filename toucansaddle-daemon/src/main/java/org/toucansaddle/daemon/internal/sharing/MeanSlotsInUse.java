package org.toucansaddle.daemon.internal.sharing;

import java.util.HashMap;
import java.util.Map;

/**
 * Slots that each account uses here while more of its requests wait, as a mean over time.
 *
 * <p>An account's share of the fleet is often not a whole number of slots at one router; the mean
 * is. Not thread-safe.
 */
final class MeanSlotsInUse {

  private static final double TIME_CONSTANT_MILLIS = 2_000;
  private static final double LEAST_SLOTS = 0.05;

  /** Slots in use of one account. */
  private static final class Usage {
    private double mean;
    private int slots;
    private boolean waiting;
    private long since;

    Usage(int slots, long now) {
      this.mean = slots;
      this.slots = slots;
      this.since = now;
    }

    void update(int newSlots, boolean nowWaiting, long now) {
      if (waiting) {
        mean += (1 - Math.exp((since - now) / TIME_CONSTANT_MILLIS)) * (slots - mean);
      }
      slots = newSlots;
      waiting = nowWaiting;
      since = now;
    }
  }

  private final Map<Integer, Usage> usages = new HashMap<>();

  /** Records how many requests of an account run, and whether more of them wait. */
  void update(int account, int running, boolean waiting, long now) {
    Usage usage = usages.get(account);
    if (usage != null) {
      usage.update(running, waiting, now);
    } else if (running > 0) {
      Usage first = new Usage(running, now);
      first.waiting = waiting;
      usages.put(account, first);
    }
  }

  /** Returns whether an account has used a slot yet. */
  boolean hasUsedSlot(int account) {
    return usages.containsKey(account);
  }

  /** Returns the mean of an account that is known; positive. */
  double mean(int account, long now) {
    Usage usage = usages.get(account);
    usage.update(usage.slots, usage.waiting, now);
    return Math.max(LEAST_SLOTS, usage.mean);
  }
}
