package org.toucansaddle.daemon.internal.gateway.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.StoredStrikes;

/** Tests of {@link QuarantineStore}. */
public class QuarantineStoreTest {

  private static final long DIGEST = 7;
  private static final Set<Long> NO_PARTS = Set.of();

  private Path file;

  @BeforeMethod
  public void createFolder() throws Exception {
    file = Files.createTempDirectory("quarantine").resolve("strikes");
  }

  @AfterMethod(alwaysRun = true)
  public void deleteFolder() throws Exception {
    Files.deleteIfExists(file);
    Files.delete(file.getParent());
  }

  private static RequestQuarantine createQuarantine() {
    return new RequestQuarantine(System::nanoTime);
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long startedAt = System.nanoTime();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime() - startedAt).isLessThan(TimeUnit.SECONDS.toNanos(10));
      Thread.sleep(10);
    }
  }

  private long storedStrikes() {
    try {
      return Files.exists(file)
          ? StoredStrikes.parseFrom(Files.readAllBytes(file)).getStrikesCount()
          : 0;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private long storedAgeMillis() {
    try {
      return StoredStrikes.parseFrom(Files.readAllBytes(file)).getStrikes(0).getAgeMillis();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void storeQuarantine() throws InterruptedException {
    RequestQuarantine quarantine = createQuarantine();
    try (QuarantineStore store = QuarantineStore.open(file, quarantine, System::nanoTime)) {
      quarantine.recordStrike(DIGEST, NO_PARTS, "u1");
      quarantine.recordStrike(DIGEST, NO_PARTS, "u2");
      quarantine.recordStrike(DIGEST, NO_PARTS, "u3");
      quarantine.recordStrike(8, NO_PARTS, "u3");
      await(() -> storedStrikes() == 3);
    }
  }

  /** Guards against a daemon that is stopped just after a strike and does not store it. */
  @Test
  public void shouldStoreStrikesThatAreNewWhenItIsClosed() throws Exception {
    RequestQuarantine quarantine = createQuarantine();
    try (QuarantineStore store = QuarantineStore.open(file, quarantine, System::nanoTime)) {
      quarantine.recordStrike(DIGEST, NO_PARTS, "u1");
      quarantine.recordStrike(DIGEST, NO_PARTS, "u2");
      quarantine.recordStrike(DIGEST, NO_PARTS, "u3");
    }
    assertThat(storedStrikes()).isEqualTo(3);
  }

  @Test
  public void shouldRestoreQuarantinedRequestsOnly() throws Exception {
    storeQuarantine();
    RequestQuarantine restored = createQuarantine();
    QuarantineStore.open(file, restored, System::nanoTime).close();
    assertThat(restored.isQuarantined(DIGEST)).isTrue();
    assertThat(restored.strikeCount(8)).isZero();
  }

  @Test
  public void shouldRemoveRequestThatSucceeded() throws Exception {
    storeQuarantine();
    RequestQuarantine restored = createQuarantine();
    try (QuarantineStore store = QuarantineStore.open(file, restored, System::nanoTime)) {
      restored.recordSuccess(DIGEST);
      await(() -> storedStrikes() == 0);
    }
  }

  @Test
  public void shouldStartWithoutStrikesIfTheFileIsDamaged() throws Exception {
    Files.write(file, new byte[] {1, 2, 3});
    RequestQuarantine restored = createQuarantine();
    QuarantineStore.open(file, restored, System::nanoTime).close();
    assertThat(restored.quarantinedCount()).isZero();
  }

  /** Guards against restarts in series that each start the quarantine from its beginning. */
  @Test
  public void shouldStoreTheAgeOfStrikesThatDoNotChange() throws Exception {
    AtomicLong clock = new AtomicLong();
    RequestQuarantine quarantine = new RequestQuarantine(clock::get);
    try (QuarantineStore store = QuarantineStore.open(file, quarantine, clock::get)) {
      quarantine.recordStrike(DIGEST, NO_PARTS, "u1");
      quarantine.recordStrike(DIGEST, NO_PARTS, "u2");
      quarantine.recordStrike(DIGEST, NO_PARTS, "u3");
      await(() -> storedStrikes() == 3);
      clock.addAndGet(TimeUnit.MINUTES.toNanos(9));
      await(() -> storedAgeMillis() == TimeUnit.MINUTES.toMillis(9));
      clock.addAndGet(TimeUnit.HOURS.toNanos(1));
      await(() -> storedStrikes() == 0);
    }
  }
}
