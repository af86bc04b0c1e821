package org.toucansaddle.coordination.internal.replication;

import java.util.List;
import java.util.TreeMap;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.LogStorage;
import org.toucansaddle.coordination.replication.ReplicaSet;
import org.toucansaddle.coordination.replication.Snapshot;

/**
 * The replica sets of a log, by the index at which each took effect.
 *
 * <p>A set takes effect when its entry is appended, whether or not it is committed. Not
 * thread-safe.
 */
final class MemberHistory {

  private static final int SCAN_BATCH_ENTRIES = 512;

  private final TreeMap<Long, ReplicaSet> setsByIndex = new TreeMap<>();

  /** Reads the sets of the snapshot and of the log entries. */
  MemberHistory(LogStorage storage) {
    resetTo(storage.snapshot());
    long nextIndex = storage.snapshot().lastIndex() + 1;
    while (nextIndex <= storage.lastIndex()) {
      List<LogEntry> batch = storage.entries(nextIndex, SCAN_BATCH_ENTRIES);
      recordAppended(batch);
      nextIndex += batch.size();
    }
  }

  /** Replaces all sets with that of the snapshot. */
  void resetTo(Snapshot snapshot) {
    setsByIndex.clear();
    setsByIndex.put(snapshot.lastIndex(), snapshot.members());
  }

  /** Records appended entries and discards the sets from the index of the first one on. */
  void recordAppended(List<LogEntry> entries) {
    if (entries.isEmpty()) {
      return;
    }
    setsByIndex.tailMap(entries.get(0).index(), true).clear();
    for (LogEntry entry : entries) {
      if (entry.kind() == LogEntry.Kind.MEMBERS) {
        setsByIndex.put(entry.index(), ReplicaSetCodec.decode(entry.payload()));
      }
    }
  }

  /** Discards the sets before the one in effect at {@code index}, as a snapshot covers them. */
  void compact(long index) {
    Long inEffect = setsByIndex.floorKey(index);
    if (inEffect != null) {
      setsByIndex.headMap(inEffect, false).clear();
    }
  }

  /** Returns the newest set. */
  ReplicaSet current() {
    return setsByIndex.lastEntry().getValue();
  }

  /** Returns the index at which the newest set took effect. */
  long currentIndex() {
    return setsByIndex.lastKey();
  }

  /** Returns the set in effect at {@code index}. */
  ReplicaSet setAt(long index) {
    return setsByIndex.floorEntry(index).getValue();
  }
}
