package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.load.RequestRecord;

/**
 * Slot time that was idle while work waited, exact to the millisecond of the journals.
 *
 * <p>A request waits from when its caller sent it until an engine took it. Immutable after
 * construction.
 */
final class SlotIdleness {

  private record Change(long time, String engine, int busy, int waiting) {}

  private final double ratio;
  private final long longestSpan;

  SlotIdleness(
      List<JournalEntry> journal,
      List<RequestRecord> requests,
      int engines,
      int slotsPerEngine,
      long from,
      long to) {
    List<Change> changes = changes(journal, requests);
    changes.sort(Comparator.comparingLong(Change::time));
    Map<String, Integer> busy = new HashMap<>();
    Map<String, Long> idleSince = new HashMap<>();
    int waiting = 0;
    double idleTime = 0;
    long longest = 0;
    long last = from;
    for (Change change : changes) {
      long time = Math.min(to, Math.max(from, change.time()));
      if (waiting > 0) {
        int used = busy.values().stream().mapToInt(b -> Math.min(b, slotsPerEngine)).sum();
        idleTime += (double) (time - last) * (engines * slotsPerEngine - used);
      }
      last = time;
      waiting += change.waiting();
      if (!change.engine().isEmpty()) {
        busy.merge(change.engine(), change.busy(), Integer::sum);
      }
      longest = Math.max(longest, longestIdle(busy, idleSince, waiting, time, slotsPerEngine));
    }
    this.ratio = idleTime / ((double) (to - from) * engines * slotsPerEngine);
    this.longestSpan = longest;
  }

  private static List<Change> changes(List<JournalEntry> journal, List<RequestRecord> requests) {
    Map<Long, Long> startedAt = ServiceGap.startTimes(journal);
    List<Change> changes = new ArrayList<>();
    for (JournalEntry entry : journal) {
      if (entry.event().equals("start")) {
        changes.add(new Change(entry.timeMillis(), entry.text("engine"), 1, 0));
      } else if (entry.event().equals("end") || entry.event().equals("cancel")) {
        changes.add(new Change(entry.timeMillis(), entry.text("engine"), -1, 0));
      }
    }
    for (RequestRecord request : requests) {
      long start = startedAt.getOrDefault(request.promptHash(), request.endedAt());
      changes.add(new Change(request.sentAt(), "", 0, 1));
      if (start != Long.MAX_VALUE) {
        changes.add(new Change(start, "", 0, -1));
      }
    }
    return changes;
  }

  /** Follows for each engine since when it has had an idle slot while work waited. */
  private static long longestIdle(
      Map<String, Integer> busy,
      Map<String, Long> idleSince,
      int waiting,
      long time,
      int slotsPerEngine) {
    long longest = 0;
    for (Map.Entry<String, Integer> entry : busy.entrySet()) {
      Long since = idleSince.get(entry.getKey());
      if (since != null) {
        longest = Math.max(longest, time - since);
      }
      boolean idle = waiting > 0 && entry.getValue() < slotsPerEngine;
      if (!idle) {
        idleSince.remove(entry.getKey());
      } else if (since == null) {
        idleSince.put(entry.getKey(), time);
      }
    }
    return longest;
  }

  /** Returns idle slot time while work waited over all slot time. */
  double ratio() {
    return ratio;
  }

  /** Returns the longest time an engine had an idle slot while work waited, in milliseconds. */
  long longestSpanMillis() {
    return longestSpan;
  }
}
