package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.load.RequestRecord;

/**
 * Slot time that was idle while requests waited, with the millisecond precision of the journals.
 *
 * <p>A request waits from when its caller sent it until an engine starts it. Immutable and
 * thread-safe.
 */
final class SlotIdleness {

  /** Change of the number of busy slots of an engine, or of the number of waiting requests. */
  private record StateChange(long timeMillis, String engine, int busyDelta, int waitingDelta) {}

  private final double idleRatio;
  private final long longestIdleMillis;

  SlotIdleness(
      List<JournalEntry> journal,
      List<RequestRecord> requests,
      int engines,
      int slotsPerEngine,
      long fromMillis,
      long toMillis) {
    List<StateChange> stateChanges = stateChanges(journal, requests);
    stateChanges.sort(Comparator.comparingLong(StateChange::timeMillis));
    Map<String, Integer> busySlots = new HashMap<>();
    Map<String, Long> idleSinceMillis = new HashMap<>();
    int waitingRequests = 0;
    double idleSlotMillis = 0;
    long maxIdleMillis = 0;
    long lastMillis = fromMillis;
    for (StateChange stateChange : stateChanges) {
      long timeMillis = Math.min(toMillis, Math.max(fromMillis, stateChange.timeMillis()));
      if (waitingRequests > 0) {
        int usedSlots =
            busySlots.values().stream().mapToInt(busy -> Math.min(busy, slotsPerEngine)).sum();
        idleSlotMillis +=
            (double) (timeMillis - lastMillis) * (engines * slotsPerEngine - usedSlots);
      }
      lastMillis = timeMillis;
      waitingRequests += stateChange.waitingDelta();
      if (!stateChange.engine().isEmpty()) {
        busySlots.merge(stateChange.engine(), stateChange.busyDelta(), Integer::sum);
      }
      maxIdleMillis =
          Math.max(
              maxIdleMillis,
              updateIdleSince(
                  busySlots, idleSinceMillis, waitingRequests, timeMillis, slotsPerEngine));
    }
    this.idleRatio = idleSlotMillis / ((double) (toMillis - fromMillis) * engines * slotsPerEngine);
    this.longestIdleMillis = maxIdleMillis;
  }

  private static List<StateChange> stateChanges(
      List<JournalEntry> journal, List<RequestRecord> requests) {
    Map<Long, Long> startTimesMillis = ServiceGap.startTimesMillis(journal);
    List<StateChange> stateChanges = new ArrayList<>();
    for (JournalEntry entry : journal) {
      if (entry.event().equals("start")) {
        stateChanges.add(new StateChange(entry.timeMillis(), entry.text("engine"), 1, 0));
      } else if (entry.event().equals("end") || entry.event().equals("cancel")) {
        stateChanges.add(new StateChange(entry.timeMillis(), entry.text("engine"), -1, 0));
      }
    }
    for (RequestRecord request : requests) {
      long startMillis =
          startTimesMillis.getOrDefault(request.promptHash(), request.endedAtMillis());
      stateChanges.add(new StateChange(request.sentAtMillis(), "", 0, 1));
      if (startMillis != Long.MAX_VALUE) {
        stateChanges.add(new StateChange(startMillis, "", 0, -1));
      }
    }
    return stateChanges;
  }

  /**
   * Updates since when each engine has had an idle slot while requests waited.
   *
   * @return the longest such span that was open before the update, in milliseconds
   */
  private static long updateIdleSince(
      Map<String, Integer> busySlots,
      Map<String, Long> idleSinceMillis,
      int waitingRequests,
      long timeMillis,
      int slotsPerEngine) {
    long maxIdleMillis = 0;
    for (Map.Entry<String, Integer> entry : busySlots.entrySet()) {
      Long sinceMillis = idleSinceMillis.get(entry.getKey());
      if (sinceMillis != null) {
        maxIdleMillis = Math.max(maxIdleMillis, timeMillis - sinceMillis);
      }
      boolean isIdle = waitingRequests > 0 && entry.getValue() < slotsPerEngine;
      if (!isIdle) {
        idleSinceMillis.remove(entry.getKey());
      } else if (sinceMillis == null) {
        idleSinceMillis.put(entry.getKey(), timeMillis);
      }
    }
    return maxIdleMillis;
  }

  /** Returns the slot time idle while requests waited, as a fraction of all slot time. */
  double idleRatio() {
    return idleRatio;
  }

  /** Returns the longest time an engine had an idle slot while requests waited, in milliseconds. */
  long longestIdleMillis() {
    return longestIdleMillis;
  }
}
