package org.toucansaddle.coordination.internal.replication;

import java.util.List;
import java.util.TreeMap;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.LogStorage;
import org.toucansaddle.coordination.replication.ReplicaSet;
import org.toucansaddle.coordination.replication.Snapshot;

/**
 * The replica sets of a log by the index they took effect at.
 *
 * <p>A set takes effect when its entry is appended, committed or not. Not thread-safe.
 */
final class MemberHistory {

  private static final int SCAN_BATCH_ENTRIES = 512;

  private final TreeMap<Long, ReplicaSet> setsByIndex = new TreeMap<>();

  /** Reads the sets that the storage holds. */
  MemberHistory(LogStorage storage) {
    resetTo(storage.snapshot());
    long next = storage.snapshot().lastIndex() + 1;
    while (next <= storage.lastIndex()) {
      List<LogEntry> batch = storage.entries(next, SCAN_BATCH_ENTRIES);
      recordAppended(batch);
      next += batch.size();
    }
  }

  /** Forgets all sets but the snapshot's. */
  void resetTo(Snapshot snapshot) {
    setsByIndex.clear();
    setsByIndex.put(snapshot.lastIndex(), snapshot.members());
  }

  /** Records entries that were just appended, replacing any from the first one's index on. */
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

  /** Forgets sets that a snapshot at {@code index} covers, but the one in force there. */
  void compact(long index) {
    Long inForce = setsByIndex.floorKey(index);
    if (inForce != null) {
      setsByIndex.headMap(inForce, false).clear();
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

  /** Returns the set in force at {@code index}. */
  ReplicaSet setAt(long index) {
    return setsByIndex.floorEntry(index).getValue();
  }
}
