package org.toucansaddle.coordination.replication;

/**
 * Times and sizes of a replicated log; change one with a {@code with} method.
 *
 * <pre>{@code
 * ReplicationSettings settings = ReplicationSettings.defaults().withHeartbeatMillis(200);
 * }</pre>
 *
 * <p>Immutable.
 *
 * @param heartbeatMillis pause between two heartbeats of the leader, in milliseconds
 * @param electionTimeoutMillis least silence of the leader before an election, in milliseconds; the
 *     timeout used is drawn between this and twice this
 * @param snapshotEntries number of applied entries after which a snapshot is taken
 * @param batchEntries most entries in one message
 */
public record ReplicationSettings(
    int heartbeatMillis, int electionTimeoutMillis, int snapshotEntries, int batchEntries) {

  /** Returns settings for replicas a few milliseconds apart. */
  public static ReplicationSettings defaults() {
    return new ReplicationSettings(400, 1_600, 2_000, 256);
  }

  /** Returns these settings with another heartbeat pause in milliseconds. */
  public ReplicationSettings withHeartbeatMillis(int millis) {
    return new ReplicationSettings(millis, electionTimeoutMillis, snapshotEntries, batchEntries);
  }

  /** Returns these settings with another least election timeout in milliseconds. */
  public ReplicationSettings withElectionTimeoutMillis(int millis) {
    return new ReplicationSettings(heartbeatMillis, millis, snapshotEntries, batchEntries);
  }

  /** Returns these settings with another number of entries between snapshots. */
  public ReplicationSettings withSnapshotEntries(int entries) {
    return new ReplicationSettings(heartbeatMillis, electionTimeoutMillis, entries, batchEntries);
  }
}
