package org.toucansaddle.coordination.internal.replication;

import java.util.List;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.LogStorage;

/** Checks a follower's log against the requests of its leader. Read-only; not thread-safe. */
final class FollowerLog {

  private final LogStorage storage;

  FollowerLog(LogStorage storage) {
    this.storage = storage;
  }

  /** Returns whether the log contains the entry that precedes the leader's entries. */
  boolean matches(long index, long term) {
    return index < storage.snapshot().lastIndex() || storage.termAt(index) == term;
  }

  /** Returns the suffix of {@code entries} that starts at the first one missing from the log. */
  List<LogEntry> missingEntries(List<LogEntry> entries) {
    long snapshotIndex = storage.snapshot().lastIndex();
    for (int i = 0; i < entries.size(); i++) {
      LogEntry entry = entries.get(i);
      boolean compacted = entry.index() <= snapshotIndex;
      if (!compacted && storage.termAt(entry.index()) != entry.term()) {
        return entries.subList(i, entries.size());
      }
    }
    return List.of();
  }

  /**
   * Returns the index that the leader should try next after a mismatch at {@code previousIndex}.
   */
  long conflictHint(long previousIndex, long commitIndex) {
    if (previousIndex > storage.lastIndex()) {
      return storage.lastIndex() + 1;
    }
    long conflictingTerm = storage.termAt(previousIndex);
    long hint = previousIndex;
    while (hint > commitIndex + 1 && storage.termAt(hint - 1) == conflictingTerm) {
      hint--;
    }
    return hint;
  }
}
