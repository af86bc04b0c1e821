package org.toucansaddle.coordination;

import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.internal.replication.FileLogStorage;
import org.toucansaddle.coordination.internal.replication.RaftReplica;
import org.toucansaddle.coordination.replication.LogStorage;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaTransport;
import org.toucansaddle.coordination.replication.ReplicatedLog;
import org.toucansaddle.coordination.replication.ReplicationSettings;
import org.toucansaddle.coordination.replication.StateMachine;

/**
 * Entry point of the coordination library.
 *
 * <pre>{@code
 * LogStorage storage = Coordination.fileLogStorage(folder);
 * ReplicatedLog log =
 *     Coordination.replicatedLog(
 *         ReplicationSettings.defaults(), self, storage, stateMachine, transport,
 *         System::currentTimeMillis, new SplittableRandom());
 * }</pre>
 *
 * <p>Stateless and thread-safe; the returned objects document their own thread safety.
 */
public final class Coordination {

  private Coordination() {}

  /**
   * Opens durable log storage in a folder, creating the folder if it is missing.
   *
   * @throws org.toucansaddle.coordination.replication.StorageException if the folder holds corrupt
   *     data or the disk fails
   */
  public static LogStorage fileLogStorage(Path folder) {
    return FileLogStorage.open(folder);
  }

  /**
   * Creates one replica of a replicated log.
   *
   * @param clockMillis monotonic clock, in milliseconds
   * @param random source of randomized election timeouts
   */
  public static ReplicatedLog replicatedLog(
      ReplicationSettings settings,
      ReplicaId self,
      LogStorage storage,
      StateMachine stateMachine,
      ReplicaTransport transport,
      LongSupplier clockMillis,
      SplittableRandom random) {
    return new RaftReplica(settings, self, storage, stateMachine, transport, clockMillis, random);
  }
}
