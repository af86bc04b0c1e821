package org.toucansaddle.coordination.internal.replication;

import java.util.List;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.LogStorage;

/** Compares a follower's log with what its leader sends. Reads only; not thread-safe. */
final class FollowerLog {

  private final LogStorage storage;

  FollowerLog(LogStorage storage) {
    this.storage = storage;
  }

  /** Returns whether the log holds the entry that the leader's entries follow. */
  boolean matches(long index, long term) {
    return index < storage.snapshot().lastIndex() || storage.termAt(index) == term;
  }

  /** Returns the entries from the first one on that the log does not hold. */
  List<LogEntry> missingEntries(List<LogEntry> entries) {
    long snapshotIndex = storage.snapshot().lastIndex();
    for (int i = 0; i < entries.size(); i++) {
      LogEntry entry = entries.get(i);
      boolean held = entry.index() <= snapshotIndex;
      if (!held && storage.termAt(entry.index()) != entry.term()) {
        return entries.subList(i, entries.size());
      }
    }
    return List.of();
  }

  /** Returns the index that the leader should try next, after the one before did not match. */
  long conflictHint(long previous, long commitIndex) {
    if (previous > storage.lastIndex()) {
      return storage.lastIndex() + 1;
    }
    long conflicting = storage.termAt(previous);
    long hint = previous;
    while (hint > commitIndex + 1 && storage.termAt(hint - 1) == conflicting) {
      hint--;
    }
    return hint;
  }
}
