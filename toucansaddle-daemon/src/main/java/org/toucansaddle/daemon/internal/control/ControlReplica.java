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
import org.toucansaddle.coordination.replication.StorageException;

/**
 * Runs one replica of the control log on a thread of its own.
 *
 * <p>All calls that arrive while the disk syncs are handled together and share the next sync. If
 * the disk fails the replica stops and the daemon goes on as a router. Thread-safe.
 */
public final class ControlReplica implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlReplica.class);
  private static final int TICK_MILLIS = 50;
  private static final int MAX_BATCH = 512;
  private static final int CLOSE_MILLIS = 3_000;

  private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final ReplicaId self;
  private final LogStorage storage;
  private final ReplicatedLog log;
  private final Thread thread;
  private volatile ReplicaStatus status;
  private volatile boolean stopped;

  /** Opens the replica in a folder and starts its thread. */
  public ControlReplica(
      Path folder,
      String name,
      ReplicationSettings settings,
      ControlStateMachine machine,
      ReplicaTransport transport) {
    this.storage = openStorage(folder);
    this.self = FolderIdentity.load(folder, name);
    this.log =
        Coordination.replicatedLog(
            settings,
            self,
            storage,
            machine,
            transport,
            () -> System.nanoTime() / 1_000_000,
            new SplittableRandom());
    this.status = log.status();
    this.thread = new Thread(this::run, "control-replica");
    thread.setDaemon(true);
    thread.start();
  }

  private static LogStorage openStorage(Path folder) {
    try {
      return Coordination.fileLogStorage(folder.resolve("log"));
    } catch (StorageException e) {
      if (e.kind() != StorageException.Kind.CORRUPT) {
        throw e;
      }
      LOG.error("moving the corrupt data folder aside and joining as a new replica", e);
      moveAside(folder);
      return Coordination.fileLogStorage(folder.resolve("log"));
    }
  }

  private static void moveAside(Path folder) {
    Path aside = folder.resolveSibling(folder.getFileName() + ".corrupt-" + System.nanoTime());
    try {
      Files.move(folder, aside);
    } catch (IOException e) {
      throw new StorageException(
          StorageException.Kind.FAILED,
          "The corrupt folder " + folder + " cannot be moved to " + aside + ". Move it by hand.",
          e);
    }
  }

  /** Returns the replica's identity. */
  public ReplicaId self() {
    return self;
  }

  /** Returns the replica's state after the last batch. */
  public ReplicaStatus status() {
    return status;
  }

  /** Returns whether the replica's disk failed. */
  public boolean isStopped() {
    return stopped;
  }

  /** Handles a message of another replica. */
  public void receive(ReplicaId from, RaftMessage message) {
    tasks.add(() -> log.receive(from, message));
  }

  /** Runs an action on the log's thread. */
  public void run(Consumer<ReplicatedLog> action) {
    tasks.add(() -> action.accept(log));
  }

  /** Makes a call on the log's thread and returns its result. */
  public <T> CompletableFuture<T> call(Function<ReplicatedLog, CompletableFuture<T>> action) {
    CompletableFuture<T> future = new CompletableFuture<>();
    if (stopped) {
      future.completeExceptionally(new IllegalStateException("The control replica has stopped."));
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

  private void run() {
    List<Runnable> batch = new ArrayList<>();
    try {
      while (!stopped) {
        Runnable first = tasks.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          tasks.drainTo(batch, MAX_BATCH);
        }
        batch.forEach(Runnable::run);
        batch.clear();
        log.tick();
        log.flush();
        status = log.status();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      LOG.error("the control replica stops; the daemon goes on as a router", e);
    } finally {
      stopped = true;
      storage.close();
    }
  }

  @Override
  public void close() {
    stopped = true;
    try {
      thread.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
