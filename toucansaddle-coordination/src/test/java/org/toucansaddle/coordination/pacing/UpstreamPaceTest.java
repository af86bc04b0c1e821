package org.toucansaddle.coordination.pacing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.pacing.UpstreamPace.Change;
import org.toucansaddle.coordination.pacing.UpstreamPace.Evidence;
import org.toucansaddle.coordination.pacing.UpstreamPace.Load;

/** Tests {@link UpstreamPace} at one router. */
public class UpstreamPaceTest {

  private static final int SLOTS = 24;
  private static final Load IDLE = new Load(0, 0, 1);

  private final List<Change> changes = new ArrayList<>();
  private long nowNanos;
  private UpstreamPace pace;

  @BeforeMethod
  public void createPace() {
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    changes.clear();
    pace = UpstreamPace.established(7, (change, p, now) -> changes.add(change), nowNanos);
    advance(10_000);
  }

  private void advance(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void keep(int requests) {
    for (int i = 0; i < requests; i++) {
      pace.recordKept(SLOTS, 1, nowNanos);
    }
  }

  /** Keeps pace until the upstream is established. */
  private void establish() {
    for (int round = 0; round < SLOTS && pace.isActive(); round++) {
      advance(1_000);
      keep(SLOTS);
    }
    assertThat(pace.isActive()).isFalse();
  }

  private void fallBehind() {
    advance(1);
    pace.recordFailed(nowNanos, nowNanos);
  }

  @Test
  public void shouldNotRestrictEstablishedUpstream() {
    pace.recordFailed(nowNanos, nowNanos);
    assertThat(pace.isActive()).isFalse();
    assertThat(pace.admits(new Load(100, 100, 1), false, nowNanos)).isTrue();
    assertThat(pace.isReported(nowNanos)).isFalse();
    assertThat(changes).isEmpty();
  }

  // Other routers count only what exceeds the largest sum that they saw.
  @Test
  public void shouldNotReportLessEvidenceAfterSecondFailure() {
    pace.restart(nowNanos);
    establish();
    int kept = pace.evidence().kept();
    advance(500);
    pace.restart(nowNanos);
    fallBehind();
    assertThat(pace.evidence().kept()).isEqualTo(kept).isPositive();
    assertThat(pace.evidence().behind()).isEqualTo(1);
  }

  @Test
  public void shouldReportNewEvidenceOnceOthersHaveForgottenTheOld() {
    pace.restart(nowNanos);
    establish();
    advance(10_000);
    pace.restart(nowNanos);
    assertThat(pace.evidence().kept()).isZero();
  }

  @Test
  public void shouldNeverRestrictIfDisabled() {
    UpstreamPace off = UpstreamPace.disabled();
    off.begin(nowNanos);
    off.restart(nowNanos);
    off.mergeOthers(new Evidence(1, 1, nowNanos), SLOTS, 60, nowNanos);
    assertThat(off.isActive()).isFalse();
  }

  @Test
  public void shouldAtMostDoubleInARound() {
    pace.begin(nowNanos);
    keep(100);
    assertThat(pace.pace()).isEqualTo(2 * UpstreamPace.INITIAL_PACE);
    advance(1_000);
    keep(100);
    assertThat(pace.pace()).isEqualTo(4 * UpstreamPace.INITIAL_PACE);
    advance(1_000);
    keep(100);
    assertThat(pace.isActive()).isFalse();
    assertThat(changes).containsExactly(Change.BEGUN, Change.ENDED);
  }

  @Test
  public void shouldHalveOnceForRequestsSentAtOnePace() {
    pace.begin(nowNanos);
    advance(1);
    long sentAt = nowNanos;
    advance(500);
    for (int i = 0; i < 4; i++) {
      pace.recordFailed(sentAt, nowNanos);
    }
    assertThat(pace.pace()).isEqualTo(UpstreamPace.INITIAL_PACE / 2);
    fallBehind();
    assertThat(pace.pace()).isEqualTo(UpstreamPace.INITIAL_PACE / 4);
  }

  @Test
  public void shouldRiseByOneARoundAfterAHalving() {
    pace.begin(nowNanos);
    advance(1_000);
    fallBehind();
    advance(1_000);
    keep(2);
    keep(2);
    assertThat(pace.pace()).isBetween(2.8, 3.0);
  }

  /** Guards against a probe that is spent on a request which may not be repeated. */
  @Test
  public void shouldProbeOnlyWithRepeatableRequestsAndOnceAStep() {
    pace.restart(nowNanos);
    fallBehind();
    fallBehind();
    fallBehind();
    assertThat(pace.pace()).isEqualTo(UpstreamPace.MIN_PACE);
    int probes = 0;
    for (int i = 0; i < 40_000; i++) {
      advance(1);
      assertThat(pace.admits(IDLE, false, nowNanos)).isFalse();
      if (pace.admits(IDLE, true, nowNanos)) {
        pace.recordSent(nowNanos);
        probes++;
      }
    }
    assertThat(probes).as("of 50 steps at a pace of a quarter").isBetween(4, 26);
  }

  @DataProvider
  public Object[][] sums() {
    return new Object[][] {
      // later sum after one of 3 kept, rise of the pace
      {"repeated", new Evidence(3, 0, 0), 0},
      {"a part was lost", new Evidence(1, 0, 0), 0},
      {"one more", new Evidence(4, 0, 0), 1},
    };
  }

  @Test(dataProvider = "sums")
  public void shouldCountEachRequestOnce(String name, Evidence later, int rise) {
    pace.begin(nowNanos);
    pace.mergeOthers(new Evidence(3, 0, 0), SLOTS, 60, nowNanos);
    double before = pace.pace();
    pace.mergeOthers(later, SLOTS, 60, nowNanos);
    assertThat(before).isEqualTo(UpstreamPace.INITIAL_PACE + 3);
    assertThat(pace.pace() - before).isEqualTo(rise);
  }

  /** Guards against a router that starts among others and floods an upstream that they pace. */
  @Test
  public void shouldPaceWithOthersSoonAfterTheRouterStarted() {
    UpstreamPace started = UpstreamPace.established(7, (change, p, now) -> {}, nowNanos);
    started.mergeOthers(new Evidence(500, 2, nowNanos), SLOTS, 60, nowNanos);
    assertThat(started.pace()).isEqualTo(UpstreamPace.INITIAL_PACE);
    pace.mergeOthers(new Evidence(500, 2, nowNanos), SLOTS, 60, nowNanos);
    assertThat(pace.isActive()).isFalse();
  }

  @Test
  public void shouldReportItsEvidenceForAWhileAfterTheEnd() {
    pace.restart(nowNanos);
    for (int i = 0; i < 20 && pace.isActive(); i++) {
      keep(50);
      advance(1_000);
    }
    assertThat(pace.isActive()).isFalse();
    assertThat(pace.isReported(nowNanos)).isTrue();
    assertThat(pace.evidence().kept()).isPositive();
    advance(5_000);
    assertThat(pace.isReported(nowNanos)).isFalse();
  }

  /** Guards against many routers that each restrict an upstream for a failure only one has seen. */
  @Test
  public void shouldSpareOneRouterOfAFailureThatItAloneHasSeen() {
    pace.restart(nowNanos);
    assertThat(pace.admits(new Load(0, 0, 60), true, nowNanos)).isTrue();
    for (int i = 0; i < 3; i++) {
      advance(1_000);
      pace.recordKept(SLOTS, 60, nowNanos);
    }
    assertThat(pace.isActive()).isFalse();
  }
}
