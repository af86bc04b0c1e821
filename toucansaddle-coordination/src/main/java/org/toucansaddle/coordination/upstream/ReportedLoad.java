package org.toucansaddle.coordination.upstream;

import java.util.OptionalInt;

/**
 * Load that an upstream reports in a response. Immutable.
 *
 * @param running requests that it works on
 * @param waiting requests that wait there
 * @param slots requests that it works on at the same time
 * @param workPercent time that work takes there, in percent of the usual; empty if not reported
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalInt workPercent) {

  /** Running requests per slot above which the figure cannot be right. */
  private static final int MAX_RUNNING_PER_SLOT = 4;

  /** Waiting requests per slot above which the figure cannot be right; queues are shorter. */
  private static final int MAX_WAITING_PER_SLOT = 20;

  private static final int MIN_WORK_PERCENT = 10;
  private static final int MAX_WORK_PERCENT = 2_000;

  /** Returns whether the figures may be right. */
  public boolean isPlausible() {
    return running >= 0
        && waiting >= 0
        && slots > 0
        && running <= (long) MAX_RUNNING_PER_SLOT * slots
        && waiting <= (long) MAX_WAITING_PER_SLOT * slots
        && workPercent.stream().allMatch(p -> p >= MIN_WORK_PERCENT && p <= MAX_WORK_PERCENT);
  }

  /** Returns the requests there. */
  public int requests() {
    return running + waiting;
  }
}
