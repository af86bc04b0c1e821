package org.toucansaddle.coordination.replication;

import java.util.List;

/**
 * Durable storage of one replica.
 *
 * <p>Writes may be buffered in memory until {@link #sync}; once {@code sync} returns they survive a
 * crash. A crash before {@code sync} may lose any suffix of the writes since the previous sync, but
 * never an earlier write. Not thread-safe: the replica calls it from one thread.
 */
public interface LogStorage extends AutoCloseable {

  /** Returns the most recently saved term and vote. */
  HardState hardState();

  /** Saves the term and vote; durable after {@link #sync}. */
  void saveHardState(HardState state);

  /** Returns the newest snapshot, or {@link Snapshot#empty}. */
  Snapshot snapshot();

  /** Returns the index of the last entry, or of the snapshot if there is no entry after it. */
  long lastIndex();

  /** Returns the term of the entry at {@code index}, or -1 if the log does not contain it. */
  long termAt(long index);

  /** Returns at most {@code max} entries in log order, starting at {@code fromIndex}. */
  List<LogEntry> entries(long fromIndex, int max);

  /** Appends entries; existing entries from the index of the first one on are discarded. */
  void append(List<LogEntry> entries);

  /** Saves a snapshot and discards the entries it covers; durable when the call returns. */
  void saveSnapshot(Snapshot snapshot);

  /** Makes all earlier writes durable. */
  void sync();

  @Override
  void close();
}
