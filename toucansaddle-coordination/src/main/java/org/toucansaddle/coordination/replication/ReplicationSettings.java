package org.toucansaddle.coordination.replication;

/**
 * Timeouts and limits of a replicated log; the {@code with} methods return modified copies.
 *
 * <pre>{@code
 * ReplicationSettings settings = ReplicationSettings.defaults().withHeartbeatMillis(200);
 * }</pre>
 *
 * <p>Immutable.
 *
 * @param heartbeatMillis interval between heartbeats of the leader, in milliseconds
 * @param electionTimeoutMillis minimum time without contact from the leader before an election, in
 *     milliseconds; the effective timeout is drawn at random between this and twice this
 * @param snapshotEntries number of entries applied since the last snapshot after which the next one
 *     is taken
 * @param batchEntries maximum number of entries in one message
 */
public record ReplicationSettings(
    int heartbeatMillis, int electionTimeoutMillis, int snapshotEntries, int batchEntries) {

  /** Returns settings for replicas with round-trip times of a few milliseconds. */
  public static ReplicationSettings defaults() {
    return new ReplicationSettings(400, 1_600, 2_000, 256);
  }

  /** Returns these settings with the given heartbeat interval in milliseconds. */
  public ReplicationSettings withHeartbeatMillis(int millis) {
    return new ReplicationSettings(millis, electionTimeoutMillis, snapshotEntries, batchEntries);
  }

  /** Returns these settings with the given minimum election timeout in milliseconds. */
  public ReplicationSettings withElectionTimeoutMillis(int millis) {
    return new ReplicationSettings(heartbeatMillis, millis, snapshotEntries, batchEntries);
  }

  /** Returns these settings with the given number of entries between snapshots. */
  public ReplicationSettings withSnapshotEntries(int entries) {
    return new ReplicationSettings(heartbeatMillis, electionTimeoutMillis, entries, batchEntries);
  }
}
