package org.toucansaddle.coordination.replication;

import java.util.ArrayList;
import java.util.List;

/** In-memory storage that loses unsynced writes on a crash. Not thread-safe. */
final class SimulatedDisk implements LogStorage {

  private HardState hardState = HardState.initial();
  private Snapshot snapshot = Snapshot.empty();
  private List<LogEntry> entries = new ArrayList<>();
  private HardState durableHardState = HardState.initial();
  private Snapshot durableSnapshot = Snapshot.empty();
  private List<LogEntry> durableEntries = new ArrayList<>();

  /** Discards the unsynced writes, as a crash does. */
  void crash() {
    hardState = durableHardState;
    snapshot = durableSnapshot;
    entries = new ArrayList<>(durableEntries);
  }

  @Override
  public HardState hardState() {
    return hardState;
  }

  @Override
  public void saveHardState(HardState state) {
    hardState = state;
  }

  @Override
  public Snapshot snapshot() {
    return snapshot;
  }

  @Override
  public long lastIndex() {
    return snapshot.lastIndex() + entries.size();
  }

  @Override
  public long termAt(long index) {
    if (index == snapshot.lastIndex()) {
      return snapshot.lastTerm();
    }
    if (index < snapshot.lastIndex() || index > lastIndex()) {
      return -1;
    }
    return entries.get((int) (index - snapshot.lastIndex() - 1)).term();
  }

  @Override
  public List<LogEntry> entries(long fromIndex, int max) {
    int from = (int) Math.max(0, fromIndex - snapshot.lastIndex() - 1);
    int to = Math.min(entries.size(), from + max);
    return from >= to ? List.of() : List.copyOf(entries.subList(from, to));
  }

  @Override
  public void append(List<LogEntry> newEntries) {
    for (LogEntry entry : newEntries) {
      int offset = (int) (entry.index() - snapshot.lastIndex() - 1);
      entries.subList(offset, entries.size()).clear();
      entries.add(entry);
    }
  }

  @Override
  public void saveSnapshot(Snapshot newSnapshot) {
    boolean logMatches = termAt(newSnapshot.lastIndex()) == newSnapshot.lastTerm();
    int coveredEntries = (int) (newSnapshot.lastIndex() - snapshot.lastIndex());
    entries =
        logMatches
            ? new ArrayList<>(
                entries.subList(Math.min(coveredEntries, entries.size()), entries.size()))
            : new ArrayList<>();
    snapshot = newSnapshot;
    sync();
  }

  @Override
  public void sync() {
    durableHardState = hardState;
    durableSnapshot = snapshot;
    durableEntries = new ArrayList<>(entries);
  }

  @Override
  public void close() {
    // Holds no resources.
  }
}
