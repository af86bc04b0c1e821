package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;
import org.toucansaddle.protocol.generated.FindOriginReply;

/** Tests of {@link VersionStore}. */
public class VersionStoreTest {

  private static final StreamOrigin V1 = new StreamOrigin("desk", "v1");
  private static final StreamOrigin V2 = new StreamOrigin("desk", "v2");

  private long nowNanos;
  private Path file;
  private UpstreamRegistry registry;
  private VersionStore store;

  @BeforeMethod
  public void openStore() throws IOException {
    file = Files.createTempDirectory("versions").resolve("versions");
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    open(false);
  }

  private void open(boolean isNewFleet) {
    registry = new UpstreamRegistry(() -> nowNanos);
    store = VersionStore.open(file, registry, () -> nowNanos, isNewFleet);
  }

  @AfterMethod(alwaysRun = true)
  public void deleteFolder() throws IOException {
    Files.deleteIfExists(file);
    Files.delete(file.getParent());
  }

  private void report(String version, long startedAtMillis) {
    registry.update(
        new UpstreamReport("u", "desk", "10.0.0.1:1", "z1", 6, State.READY, startedAtMillis, 1)
            .withSoftwareVersion(version));
    store.writeIfOutdated();
  }

  private long knownMillis() {
    return store.complete(FindOriginReply.getDefaultInstance()).getVersionsKnownMillis();
  }

  private void wait(int seconds) {
    nowNanos += TimeUnit.SECONDS.toNanos(seconds);
  }

  /** Guards against a daemon that starts again and does not know the version that has left. */
  @Test
  public void shouldKnowVersionsOfBeforeAStart() {
    report("v1", 1);
    report("v2", 2);
    open(false);
    assertThat(registry.versions()).containsOnlyKeys(V1, V2);
    assertThat(knownMillis()).isGreaterThan(TimeUnit.DAYS.toMillis(1));
  }

  @Test
  public void shouldForgetVersionsAMinuteAfterTheirLastReport() {
    report("v1", 1);
    report("v2", 2);
    wait(30);
    store.writeIfOutdated();
    open(false);
    wait(31);
    report("v2", 2);
    assertThat(registry.versions()).containsOnlyKeys(V2);
  }

  @Test
  public void shouldTellForHowLongItKnowsVersionsWithoutAFile() {
    wait(7);
    assertThat(knownMillis()).isEqualTo(7_000);
  }

  @Test
  public void shouldKnowAllVersionsOfANewFleet() {
    open(true);
    assertThat(knownMillis()).isGreaterThan(TimeUnit.DAYS.toMillis(1));
  }

  @Test
  public void shouldStartWithADamagedFile() throws IOException {
    Files.write(file, new byte[] {1, 2, 3});
    open(false);
    assertThat(registry.versions()).isEmpty();
    assertThat(knownMillis()).isZero();
  }
}
