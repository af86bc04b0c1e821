package org.toucansaddle.daemon.internal.gateway.quarantine;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.DurableFile;
import org.toucansaddle.protocol.generated.StoredStrikes;

/**
 * Keeps the strikes of quarantined requests in a file, so that they survive the loss of power of
 * all daemons.
 *
 * <p>A thread of its own writes the file soon after each change, so that a slow disk delays nothing
 * else. Strikes keep the age that they had when the file was written; the time without power does
 * not count. Thread-safe.
 */
public final class QuarantineStore implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(QuarantineStore.class);

  private static final int WRITE_DELAY_MILLIS = 200;
  private static final long RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Path file;
  private final RequestQuarantine quarantine;
  private final ScheduledExecutorService writer =
      Executors.newSingleThreadScheduledExecutor(
          action -> {
            Thread thread = new Thread(action, "quarantine-writer");
            thread.setDaemon(true);
            return thread;
          });
  private long writtenChange;
  private long failedAtNanos;
  private boolean lastWriteFailed;

  private QuarantineStore(Path file, RequestQuarantine quarantine) {
    this.file = file;
    this.quarantine = quarantine;
  }

  /** Adds the stored strikes to a quarantine and stores its changes from now on. */
  public static QuarantineStore open(Path file, RequestQuarantine quarantine) {
    QuarantineStore store = new QuarantineStore(file, quarantine);
    store.load();
    store.writer.scheduleWithFixedDelay(
        store::writeIfChanged, 0, WRITE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    return store;
  }

  private void load() {
    try {
      if (Files.exists(file)) {
        quarantine.merge(StoredStrikes.parseFrom(Files.readAllBytes(file)).getStrikesList());
        writtenChange = quarantine.lastLimitChange();
        LOG.info(
            "start: {} requests in quarantine read from {}", quarantine.quarantinedCount(), file);
      }
    } catch (InvalidProtocolBufferException e) {
      LOG.warn("{} is damaged and is replaced at the next change: {}", file, e.getMessage());
    } catch (IOException e) {
      LOG.warn("{} cannot be read; check the disk: {}", file, e.getMessage());
    }
  }

  private void writeIfChanged() {
    long change = quarantine.lastLimitChange();
    boolean waits = lastWriteFailed && System.nanoTime() - failedAtNanos < RETRY_DELAY_NANOS;
    if (change == writtenChange || waits) {
      return;
    }
    try {
      StoredStrikes strikes =
          StoredStrikes.newBuilder().addAllStrikes(quarantine.strikesAtLimit()).build();
      DurableFile.replace(file, strikes.toByteArray());
      writtenChange = change;
      lastWriteFailed = false;
    } catch (IOException | RuntimeException e) {
      lastWriteFailed = true;
      failedAtNanos = System.nanoTime();
      LOG.warn("{} cannot be written; tried again in 5 s: {}", file, e.toString());
    }
  }

  @Override
  public void close() {
    writer.shutdownNow();
  }
}
