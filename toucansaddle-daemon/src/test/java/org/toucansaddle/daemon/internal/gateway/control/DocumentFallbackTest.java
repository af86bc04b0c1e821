package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.stub.StreamObserver;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.internal.gateway.origin.OriginTable;
import org.toucansaddle.daemon.internal.gateway.quarantine.RequestQuarantine;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;

/** Tests when a control daemon sends documents to a router that wants them from another one. */
public class DocumentFallbackTest {

  private static final int STEP_MILLIS = 100;
  private static final int REPORT_MILLIS = 400;
  private static final int RUN_MILLIS = 8_000;

  /** Time after a change from which a router must not be behind it. */
  private static final int MAX_LAG_MILLIS = 2_000;

  private long nowMillis;
  private StoredDocument document;
  private FollowServer server;
  private List<Long> sentVersions;
  private StreamObserver<FollowerReport> reports;

  @BeforeMethod
  public void startServer() {
    nowMillis = 1_000;
    document = document(1);
    sentVersions = new ArrayList<>();
    server =
        new FollowServer(
            new FollowSources(
                () -> FleetState.none().withDocument(document), "", List::of, service -> 0),
            new UpstreamRegistry(this::nowNanos),
            new RequestQuarantine(this::nowNanos),
            new OriginTable(this::nowNanos),
            this::nowNanos,
            "z1");
    server.pushChanges();
    reports = server.follow(new UpdateObserver(this::recordDocument));
    report(1, true);
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  private static StoredDocument document(long version) {
    return new StoredDocument(version, Long.toString(version).getBytes(StandardCharsets.UTF_8));
  }

  private void report(long version, boolean first) {
    reports.onNext(
        FollowerReport.newBuilder()
            .setFirst(first)
            .setRouter("r")
            .setDocumentVersion(version)
            .build());
  }

  @DataProvider
  public Object[][] gaps() {
    return new Object[][] {{300}, {700}, {1_100}, {10_000}};
  }

  /** Guards against changes in quick succession that put off the fallback again and again. */
  @Test(dataProvider = "gaps")
  public void shouldSendDocumentsToARouterWhoseSourceIsBehind(int gapMillis) {
    List<Long> changedAt = new ArrayList<>();
    for (int elapsed = 0; elapsed < RUN_MILLIS; elapsed += STEP_MILLIS) {
      nowMillis += STEP_MILLIS;
      if (elapsed % gapMillis == 0) {
        document = document(document.version() + 1);
        changedAt.add(nowMillis);
        server.pushChanges();
      }
      if (elapsed % REPORT_MILLIS == 0) {
        report(latestSent(), false);
        server.sendHeartbeats();
      }
      long firstMissing = latestSent() + 1;
      if (firstMissing <= document.version()) {
        long lagMillis = nowMillis - changedAt.get((int) firstMissing - 2);
        assertThat(lagMillis).as("version %s", firstMissing).isLessThan(MAX_LAG_MILLIS);
      }
    }
  }

  /** Guards against a daemon that started with a document and sends it to no router. */
  @Test
  public void shouldSendTheDocumentItStartedWith() {
    document = document(5);
    for (int elapsed = 0; elapsed < MAX_LAG_MILLIS; elapsed += REPORT_MILLIS) {
      nowMillis += REPORT_MILLIS;
      report(1, false);
      server.sendHeartbeats();
    }
    assertThat(sentVersions).contains(5L);
  }

  private long latestSent() {
    return sentVersions.stream().mapToLong(version -> version).max().orElse(1);
  }

  /** Guards against documents that each control daemon sends although the router has them. */
  @Test(dataProvider = "gaps")
  public void shouldSendNoDocumentToARouterThatGetsThemElsewhere(int gapMillis) {
    for (int elapsed = 0; elapsed < RUN_MILLIS; elapsed += STEP_MILLIS) {
      nowMillis += STEP_MILLIS;
      if (elapsed % gapMillis == 0) {
        document = document(document.version() + 1);
        server.pushChanges();
      }
      if (elapsed % REPORT_MILLIS == 0) {
        report(document.version(), false);
        server.sendHeartbeats();
      }
    }
    assertThat(sentVersions).isEmpty();
  }

  private void recordDocument(FleetUpdate update) {
    if (update.hasDocument()) {
      sentVersions.add(update.getDocument().getVersion());
    }
  }
}
