package org.toucansaddle.daemon.internal.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.coordination.Coordination;
import org.toucansaddle.coordination.replication.LogStorage;
import org.toucansaddle.coordination.replication.RaftMessage;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaStatus;
import org.toucansaddle.coordination.replication.ReplicaTransport;
import org.toucansaddle.coordination.replication.ReplicatedLog;
import org.toucansaddle.coordination.replication.ReplicationSettings;
import org.toucansaddle.coordination.replication.StateMachine;
import org.toucansaddle.coordination.replication.StorageException;

/**
 * Runs one replica of the control log on a dedicated thread.
 *
 * <p>Calls that arrive during a disk sync are processed as one batch and share the next sync. While
 * the disk fails, the replica sends nothing, as if its VM were down. Once the disk is readable and
 * writable again, the replica restarts from the stored state. Thread-safe.
 */
public final class ControlReplica implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlReplica.class);
  private static final int TICK_INTERVAL_MILLIS = 50;
  private static final int MAX_BATCH_TASKS = 512;
  private static final int CLOSE_TIMEOUT_MILLIS = 3_000;
  private static final int REOPEN_DELAY_MILLIS = 300;

  private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final Path folder;
  private final ReplicationSettings settings;
  private final StateMachine stateMachine;
  private final ReplicaTransport transport;
  private final ReplicaId self;
  private final Thread thread;
  private LogStorage storage;
  private ReplicatedLog log;
  private volatile ReplicaStatus status;
  private volatile boolean diskFailing;
  private volatile boolean stopped;

  /** Opens the replica in a folder and starts its thread. */
  public ControlReplica(
      Path folder,
      String name,
      ReplicationSettings settings,
      StateMachine stateMachine,
      ReplicaTransport transport) {
    this.folder = folder;
    this.settings = settings;
    this.stateMachine = stateMachine;
    this.transport = transport;
    this.storage = openStorage(folder);
    this.self = ReplicaIdentityFile.loadOrCreate(folder, name);
    this.log = openLog();
    this.status = log.status();
    this.thread = new Thread(this::runLoop, "control-replica");
    thread.setDaemon(true);
    thread.start();
  }

  private ReplicatedLog openLog() {
    return Coordination.replicatedLog(
        settings,
        self,
        storage,
        stateMachine,
        transport,
        () -> System.nanoTime() / 1_000_000,
        new SplittableRandom());
  }

  private static LogStorage openStorage(Path folder) {
    try {
      return Coordination.fileLogStorage(folder.resolve("log"));
    } catch (StorageException e) {
      if (e.kind() != StorageException.Kind.CORRUPT) {
        throw e;
      }
      LOG.error("renaming the corrupt data folder and joining as a new replica", e);
      quarantineFolder(folder);
      return Coordination.fileLogStorage(folder.resolve("log"));
    }
  }

  private static void quarantineFolder(Path folder) {
    Path quarantine = folder.resolveSibling(folder.getFileName() + ".corrupt-" + System.nanoTime());
    try {
      Files.move(folder, quarantine);
    } catch (IOException e) {
      throw new StorageException(
          StorageException.Kind.FAILED,
          "The corrupt folder "
              + folder
              + " cannot be renamed to "
              + quarantine
              + ". Rename it manually.",
          e);
    }
  }

  /** Returns the replica's identity. */
  public ReplicaId self() {
    return self;
  }

  /** Returns the replica's status after the last batch. */
  public ReplicaStatus status() {
    return status;
  }

  /** Returns whether the replica is stopped or its disk fails. */
  public boolean isUnavailable() {
    return stopped || diskFailing;
  }

  /** Enqueues a message of another replica. */
  public void receive(ReplicaId from, RaftMessage message) {
    tasks.add(() -> log.receive(from, message));
  }

  /** Runs an action on the replica's thread. */
  public void execute(Consumer<ReplicatedLog> action) {
    tasks.add(() -> action.accept(log));
  }

  /**
   * Makes a call on the replica's thread and returns its result.
   *
   * <p>Fails at once while the replica is unavailable. A call that is queued when the disk fails is
   * dropped, and its future never completes; callers need a timeout.
   */
  public <T> CompletableFuture<T> submit(Function<ReplicatedLog, CompletableFuture<T>> action) {
    CompletableFuture<T> future = new CompletableFuture<>();
    if (isUnavailable()) {
      future.completeExceptionally(
          new IllegalStateException("The disk of the control replica is unavailable."));
      return future;
    }
    tasks.add(
        () ->
            action
                .apply(log)
                .whenComplete(
                    (value, failure) -> {
                      if (failure == null) {
                        future.complete(value);
                      } else {
                        future.completeExceptionally(failure);
                      }
                    }));
    return future;
  }

  private void runLoop() {
    try {
      while (!stopped) {
        try {
          processTasksUntilDiskFails();
        } catch (StorageException e) {
          LOG.error("dependency lost: the disk of the control replica", e);
          reopenStorage();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      LOG.error("the control replica failed and stops; the daemon continues as a router", e);
    } finally {
      stopped = true;
      storage.close();
    }
  }

  private void processTasksUntilDiskFails() throws InterruptedException {
    List<Runnable> batch = new ArrayList<>();
    while (!stopped) {
      Runnable first = tasks.poll(TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      if (first != null) {
        batch.add(first);
        tasks.drainTo(batch, MAX_BATCH_TASKS);
      }
      batch.forEach(Runnable::run);
      batch.clear();
      log.tick();
      log.flush();
      status = log.status();
    }
  }

  /**
   * Restarts the replica from the disk, retrying until the disk works.
   *
   * <p>No acknowledged entry exists in memory only, so restarting from the disk loses none.
   */
  private void reopenStorage() throws InterruptedException {
    diskFailing = true;
    while (!stopped) {
      Thread.sleep(REOPEN_DELAY_MILLIS);
      tasks.clear();
      try {
        storage.close();
        storage = openStorage(folder);
        log = openLog();
        diskFailing = false;
        LOG.info("dependency regained: the disk of the control replica");
        return;
      } catch (StorageException e) {
        LOG.warn("the disk of the control replica still fails: {}", e.getMessage());
      }
    }
  }

  @Override
  public void close() {
    stopped = true;
    try {
      thread.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
