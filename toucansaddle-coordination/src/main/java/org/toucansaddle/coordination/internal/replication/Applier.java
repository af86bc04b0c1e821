package org.toucansaddle.coordination.internal.replication;

import java.util.List;
import java.util.function.BiConsumer;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.LogStorage;
import org.toucansaddle.coordination.replication.Snapshot;
import org.toucansaddle.coordination.replication.StateMachine;

/**
 * Applies committed entries to the state machine in order and takes snapshots.
 *
 * <p>Each index is applied at most once. Not thread-safe.
 */
final class Applier {

  private static final int BATCH_ENTRIES = 256;

  private final LogStorage storage;
  private final StateMachine stateMachine;
  private final MemberHistory memberHistory;
  private final int snapshotEntries;
  private long appliedIndex;

  Applier(
      LogStorage storage,
      StateMachine stateMachine,
      MemberHistory memberHistory,
      int snapshotEntries) {
    this.storage = storage;
    this.stateMachine = stateMachine;
    this.memberHistory = memberHistory;
    this.snapshotEntries = snapshotEntries;
    restore(storage.snapshot());
  }

  long appliedIndex() {
    return appliedIndex;
  }

  /** Replaces the state of the state machine with a snapshot. */
  void restore(Snapshot snapshot) {
    stateMachine.restore(snapshot.state());
    appliedIndex = snapshot.lastIndex();
  }

  /** Applies entries up to {@code commitIndex} and passes each with its result to the consumer. */
  void applyUpTo(long commitIndex, BiConsumer<LogEntry, byte[]> onApplied) {
    while (appliedIndex < commitIndex) {
      int count = (int) Math.min(BATCH_ENTRIES, commitIndex - appliedIndex);
      List<LogEntry> batch = storage.entries(appliedIndex + 1, count);
      for (LogEntry entry : batch) {
        onApplied.accept(entry, apply(entry));
      }
    }
    takeSnapshotIfDue();
  }

  private byte[] apply(LogEntry entry) {
    appliedIndex = entry.index();
    if (entry.kind() != LogEntry.Kind.COMMAND) {
      return new byte[0];
    }
    return stateMachine.apply(entry.index(), entry.payload());
  }

  private void takeSnapshotIfDue() {
    if (appliedIndex - storage.snapshot().lastIndex() < snapshotEntries) {
      return;
    }
    long term = storage.termAt(appliedIndex);
    Snapshot snapshot =
        new Snapshot(
            appliedIndex, term, memberHistory.setAt(appliedIndex), stateMachine.snapshot());
    storage.saveSnapshot(snapshot);
    memberHistory.compact(appliedIndex);
  }
}
