package org.toucansaddle.daemon.internal.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.DurableFile;
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;
import org.toucansaddle.protocol.generated.FindOriginReply;
import org.toucansaddle.protocol.generated.ServiceVersion;
import org.toucansaddle.protocol.generated.StoredVersions;

/**
 * Keeps the software versions of upstreams in a file, so that a control daemon that starts again
 * knows those that may have begun a stream, although their upstreams have left.
 *
 * <p>The file is written when a version is new and, since the ages of the others change, from time
 * to time. Ages are kept instead of times of day, which may jump; the time without power does not
 * count. A thread of its own writes, so that a slow disk delays nothing else. Thread-safe.
 */
public final class VersionStore implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(VersionStore.class);

  /** Largest difference between the age of a version and the age that is stored. */
  private static final long MAX_AGE_ERROR_NANOS = TimeUnit.SECONDS.toNanos(20);

  private static final int WRITE_DELAY_MILLIS = 200;
  private static final long RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Path file;
  private final UpstreamRegistry registry;
  private final LongSupplier clock;
  private final long startedAtNanos;
  private final boolean knowsAllBefore;
  private final ScheduledExecutorService writer =
      Executors.newSingleThreadScheduledExecutor(
          action -> {
            Thread thread = new Thread(action, "version-writer");
            thread.setDaemon(true);
            return thread;
          });
  private Set<StreamOrigin> written = Set.of();
  private long nextWriteAtNanos;

  private VersionStore(
      Path file, UpstreamRegistry registry, LongSupplier clock, boolean knowsAllBefore) {
    this.file = file;
    this.registry = registry;
    this.clock = clock;
    this.startedAtNanos = clock.getAsLong();
    this.nextWriteAtNanos = startedAtNanos;
    this.knowsAllBefore = knowsAllBefore;
  }

  /**
   * Adds the stored versions to a registry.
   *
   * @param clock the clock of the registry, in nanoseconds
   * @param isNewFleet whether no upstream can have reported before
   */
  public static VersionStore open(
      Path file, UpstreamRegistry registry, LongSupplier clock, boolean isNewFleet) {
    boolean isLoaded = load(file, registry, clock.getAsLong());
    return new VersionStore(file, registry, clock, isLoaded || isNewFleet);
  }

  private static boolean load(Path file, UpstreamRegistry registry, long nowNanos) {
    try {
      if (!Files.exists(file)) {
        return false;
      }
      StoredVersions stored = StoredVersions.parseFrom(Files.readAllBytes(file));
      for (ServiceVersion version : stored.getVersionsList()) {
        registry.recordVersion(
            new StreamOrigin(version.getService(), version.getSoftwareVersion()),
            nowNanos - TimeUnit.MILLISECONDS.toNanos(version.getAgeMillis()));
      }
      LOG.info("start: {} software versions read from {}", stored.getVersionsCount(), file);
      return true;
    } catch (InvalidProtocolBufferException e) {
      LOG.warn("{} is damaged and is replaced at the next change: {}", file, e.getMessage());
    } catch (IOException e) {
      LOG.warn("{} cannot be read; check the disk: {}", file, e.getMessage());
    }
    return false;
  }

  /** Begins to write what changes. */
  public void start() {
    writer.scheduleWithFixedDelay(
        this::writeIfOutdated, 0, WRITE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Writes the file if a version is new or the stored ages are too old. */
  synchronized void writeIfOutdated() {
    long now = clock.getAsLong();
    Map<StreamOrigin, Long> versions = registry.versions();
    boolean isDue = now - nextWriteAtNanos >= 0;
    if (versions.isEmpty() || !(isDue || isNew(versions.keySet()))) {
      return;
    }
    try {
      StoredVersions stored =
          StoredVersions.newBuilder().addAllVersions(VersionCodec.encode(versions, now)).build();
      DurableFile.replace(file, stored.toByteArray());
      nextWriteAtNanos = now + MAX_AGE_ERROR_NANOS;
    } catch (IOException | RuntimeException e) {
      nextWriteAtNanos = now + RETRY_DELAY_NANOS;
      LOG.warn("{} cannot be written; tried again in 5 s: {}", file, e.toString());
    }
    written = Set.copyOf(versions.keySet());
  }

  private boolean isNew(Set<StreamOrigin> versions) {
    return !written.containsAll(versions);
  }

  /** Stops writing; what is new in the last moment may not be stored. */
  @Override
  public void close() {
    writer.shutdown();
  }

  /** Adds to a reply the versions that this daemon knows, and for how long it has known all. */
  public FindOriginReply complete(FindOriginReply reply) {
    long nanos = knowsAllBefore ? Long.MAX_VALUE : clock.getAsLong() - startedAtNanos;
    return reply.toBuilder()
        .setVersionsKnownMillis(TimeUnit.NANOSECONDS.toMillis(nanos))
        .addAllVersions(VersionCodec.encode(registry.versions(), clock.getAsLong()))
        .build();
  }
}
