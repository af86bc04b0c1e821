package org.toucansaddle.daemon.internal.gateway.quarantine;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.DurableFile;
import org.toucansaddle.protocol.generated.StoredStrikes;

/**
 * Keeps the strikes of quarantined requests in a file, so that they survive the loss of power of
 * all daemons.
 *
 * <p>A thread of its own writes the file soon after each change, so that a slow disk delays nothing
 * else. Strikes are read with the age that they had when the file was written, since the time of
 * day may jump; the file is written again while they age. The time without power does not count.
 * Thread-safe.
 */
public final class QuarantineStore implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(QuarantineStore.class);

  private static final int WRITE_DELAY_MILLIS = 200;
  private static final int CLOSE_TIMEOUT_MILLIS = 1_000;
  private static final long RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Largest difference between the age of a strike and the age that is stored. */
  private static final long MAX_AGE_ERROR_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Path file;
  private final RequestQuarantine quarantine;
  private final LongSupplier clock;
  private final ScheduledExecutorService writer =
      Executors.newSingleThreadScheduledExecutor(
          action -> {
            Thread thread = new Thread(action, "quarantine-writer");
            thread.setDaemon(true);
            return thread;
          });
  private long writtenChange;
  private long storedAtNanos;
  private boolean hasStoredStrikes;
  private long failedAtNanos;
  private boolean lastWriteFailed;

  private QuarantineStore(Path file, RequestQuarantine quarantine, LongSupplier clock) {
    this.file = file;
    this.quarantine = quarantine;
    this.clock = clock;
  }

  /**
   * Adds the stored strikes to a quarantine and stores its changes from now on.
   *
   * @param clock the clock of the quarantine, in nanoseconds
   */
  public static QuarantineStore open(Path file, RequestQuarantine quarantine, LongSupplier clock) {
    QuarantineStore store = new QuarantineStore(file, quarantine, clock);
    store.load();
    store.writer.scheduleWithFixedDelay(
        store::writeIfOutdated, 0, WRITE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    return store;
  }

  private void load() {
    try {
      if (Files.exists(file)) {
        StoredStrikes stored = StoredStrikes.parseFrom(Files.readAllBytes(file));
        quarantine.merge(stored.getStrikesList());
        recordStored(quarantine.lastLimitChange(), clock.getAsLong(), stored);
        LOG.info(
            "start: {} requests in quarantine read from {}", quarantine.quarantinedCount(), file);
      }
    } catch (InvalidProtocolBufferException e) {
      LOG.warn("{} is damaged and is replaced at the next change: {}", file, e.getMessage());
    } catch (IOException e) {
      LOG.warn("{} cannot be read; check the disk: {}", file, e.getMessage());
    }
  }

  private void recordStored(long change, long encodedAtNanos, StoredStrikes stored) {
    writtenChange = change;
    storedAtNanos = encodedAtNanos;
    hasStoredStrikes = stored.getStrikesCount() > 0;
  }

  private void writeIfOutdated() {
    long change = quarantine.lastLimitChange();
    boolean waits = lastWriteFailed && clock.getAsLong() - failedAtNanos < RETRY_DELAY_NANOS;
    if (waits || (change == writtenChange && !areStoredAgesOutdated())) {
      return;
    }
    long now = clock.getAsLong();
    try {
      StoredStrikes strikes =
          StoredStrikes.newBuilder().addAllStrikes(quarantine.strikesAtLimit()).build();
      DurableFile.replace(file, strikes.toByteArray());
      recordStored(change, now, strikes);
      lastWriteFailed = false;
    } catch (IOException | RuntimeException e) {
      lastWriteFailed = true;
      failedAtNanos = clock.getAsLong();
      LOG.warn("{} cannot be written; tried again in 5 s: {}", file, e.toString());
    }
  }

  private boolean areStoredAgesOutdated() {
    return hasStoredStrikes && clock.getAsLong() - storedAtNanos >= MAX_AGE_ERROR_NANOS;
  }

  /** Stores what is new, and waits for that for a short time. */
  @Override
  public void close() {
    writer.execute(this::writeIfOutdated);
    writer.shutdown();
    try {
      if (!writer.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
        LOG.warn("{} is still being written after {} ms", file, CLOSE_TIMEOUT_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
