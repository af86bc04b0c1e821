package org.toucansaddle.daemon.internal.gateway.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.DigestStrike;

/** Tests of {@link RequestQuarantine}. */
public class RequestQuarantineTest {

  private static final long DIGEST = 7;
  private static final Set<Long> NO_PARTS = Set.of();

  private AtomicLong clock;
  private RequestQuarantine local;
  private RequestQuarantine remote;

  @BeforeMethod
  public void createQuarantines() {
    clock = new AtomicLong();
    local = new RequestQuarantine(clock::get);
    remote = new RequestQuarantine(clock::get);
  }

  @Test
  public void shouldQuarantineARequestThatCrashedThreeUpstreamsOverAllRouters() {
    local.recordStrike(DIGEST, NO_PARTS, "u1");
    remote.recordStrike(DIGEST, NO_PARTS, "u2");
    remote.recordStrike(DIGEST, NO_PARTS, "u3");
    assertThat(local.isQuarantined(DIGEST)).isFalse();

    local.merge(remote.strikesAfter(0));
    assertThat(local.isQuarantined(DIGEST)).isTrue();
  }

  @Test
  public void shouldCountAnUpstreamOnceWhenItsStrikeIsReportedRepeatedly() {
    for (int i = 0; i < 5; i++) {
      local.recordStrike(DIGEST, NO_PARTS, "u1");
      remote.merge(local.strikesAfter(0));
    }
    assertThat(remote.isQuarantined(DIGEST)).isFalse();
  }

  /** Guards against a request that crashes upstreams after each of its callers has left. */
  @Test
  public void shouldStrikeAbandonedRequestsOfAnUpstreamThatCrashed() {
    for (String upstream : List.of("u1", "u2", "u3")) {
      local.recordAbandoned(DIGEST, upstream, 1_000);
      local.recordAbandoned(DIGEST + 1, "other", 1_000);
      clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(900));
      local.recordCrash(upstream, clock.get());
      local.recordCrash(upstream, clock.get());
    }
    assertThat(local.isQuarantined(DIGEST)).isTrue();
    assertThat(local.strikeCount(DIGEST + 1)).isZero();
  }

  /** Guards against a sound request that is refused since it was there before several crashes. */
  @Test
  public void shouldNotStrikeAbandonedRequestThatSucceededSince() {
    local.recordAbandoned(DIGEST, "u1", 1_000);
    local.recordSuccess(DIGEST);
    local.recordCrash("u1", clock.get());
    assertThat(local.strikeCount(DIGEST)).isZero();
  }

  @Test
  public void shouldNotStrikeAbandonedRequestWhoseTimeWasOver() {
    local.recordAbandoned(DIGEST, "u1", 1_000);
    clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_001));
    local.recordCrash("u1", clock.get());
    assertThat(local.strikeCount(DIGEST)).isZero();
  }

  @Test
  public void shouldForgetTheRequestsThatWereAbandonedFirst() {
    for (int i = 0; i <= AbandonedRequests.MAX_DIGESTS; i++) {
      local.recordAbandoned(i, "u1", 1_000);
    }
    local.recordCrash("u1", clock.get());
    assertThat(local.strikeCount(0)).isZero();
    assertThat(local.strikeCount(AbandonedRequests.MAX_DIGESTS)).isOne();
  }

  @Test
  public void shouldRemoveTheStrikesOfARequestThatSucceeded() {
    local.recordStrike(DIGEST, NO_PARTS, "u1");
    local.recordStrike(DIGEST, NO_PARTS, "u2");
    local.recordSuccess(DIGEST);
    local.recordStrike(DIGEST, NO_PARTS, "u3");
    assertThat(local.isQuarantined(DIGEST)).isFalse();
  }

  @Test
  public void shouldRemoveTheStrikesOfARequestThatSucceededAtAnotherRouter() {
    local.recordStrike(DIGEST, NO_PARTS, "u1");
    local.recordStrike(DIGEST, NO_PARTS, "u2");
    remote.merge(local.spreadStrikesAfter(0));
    long change = remote.lastChange();
    remote.recordSuccess(DIGEST);
    local.mergeSuccesses(remote.successesAfter(change));
    assertThat(local.strikeCount(DIGEST)).isZero();
  }

  @Test
  public void shouldReportNoSuccessOfARequestWithoutStrikes() {
    local.recordSuccess(DIGEST);
    assertThat(local.successesAfter(0)).isEmpty();
  }

  @Test
  public void shouldSpreadOnlyStrikesNearTheLimit() {
    local.recordStrike(DIGEST, NO_PARTS, "u1");
    assertThat(local.spreadStrikesAfter(0)).isEmpty();
    local.recordStrike(DIGEST, NO_PARTS, "u2");
    assertThat(local.spreadStrikesAfter(0)).hasSize(2);
  }

  /** Guards against strikes that expire before a request that comes rarely has three of them. */
  @Test
  public void shouldQuarantineARequestThatCrashesUpstreamsEveryFewMinutes() {
    for (int i = 0; i < 3; i++) {
      clock.addAndGet(TimeUnit.MINUTES.toNanos(5));
      local.recordStrike(DIGEST, NO_PARTS, "u" + i);
    }
    assertThat(local.isQuarantined(DIGEST)).isTrue();
  }

  @Test
  public void shouldEndTheQuarantineTenMinutesAfterTheLastStrike() {
    local.recordStrike(DIGEST, NO_PARTS, "u1");
    local.recordStrike(DIGEST, NO_PARTS, "u2");
    local.recordStrike(DIGEST, NO_PARTS, "u3");
    clock.addAndGet(TimeUnit.SECONDS.toNanos(599));
    assertThat(local.isQuarantined(DIGEST)).isTrue();
    assertThat(local.quarantinedCount()).isEqualTo(1);
    clock.addAndGet(TimeUnit.SECONDS.toNanos(2));
    assertThat(local.isQuarantined(DIGEST)).isFalse();
    assertThat(local.quarantinedCount()).isZero();
  }

  /** Guards against three new crashes after each end of the quarantine. */
  @Test
  public void shouldRenewTheQuarantineAfterOneMoreCrash() {
    local.recordStrike(DIGEST, NO_PARTS, "u1");
    local.recordStrike(DIGEST, NO_PARTS, "u2");
    local.recordStrike(DIGEST, NO_PARTS, "u3");
    clock.addAndGet(TimeUnit.MINUTES.toNanos(11));
    local.recordStrike(DIGEST, NO_PARTS, "u4");
    assertThat(local.isQuarantined(DIGEST)).isTrue();
  }

  /** Guards against a limit that drops new strikes, and against strikes that crowd out others. */
  @Test
  public void shouldKeepQuarantineAndRecordNewStrikesWhenManyRequestsWereRunningDuringCrashes() {
    for (int i = 0; i < 3; i++) {
      local.recordStrike(DIGEST, NO_PARTS, "u" + i);
    }
    for (int digest = 1_000; digest < 21_000; digest++) {
      local.recordStrike(digest, NO_PARTS, "u1");
    }
    assertThat(local.isQuarantined(DIGEST)).isTrue();
    assertThat(local.strikeCount(20_999)).isEqualTo(1);
    assertThat(local.strikesAfter(0)).hasSizeLessThan(6_100);
  }

  /** Guards against strikes that never expire because daemons send them to each other. */
  @Test
  public void shouldKeepTheAgeOfStrikesThatWerePassedOn() {
    local.recordStrike(DIGEST, NO_PARTS, "u1");
    local.recordStrike(DIGEST, NO_PARTS, "u2");
    local.recordStrike(DIGEST, NO_PARTS, "u3");
    clock.addAndGet(TimeUnit.MINUTES.toNanos(6));
    remote.merge(local.strikesAfter(0));
    assertThat(remote.isQuarantined(DIGEST)).isTrue();
    clock.addAndGet(TimeUnit.MINUTES.toNanos(5));
    assertThat(remote.isQuarantined(DIGEST)).isFalse();
    assertThat(remote.merge(local.strikesAfter(0))).isFalse();
  }

  /** Guards against a request that gathers strikes without end because each one renews all. */
  @Test
  public void shouldBoundTheStrikesOfARequestThatCrashesUpstreamsForDays() {
    for (int i = 0; i < 200; i++) {
      clock.addAndGet(TimeUnit.MINUTES.toNanos(50));
      local.recordStrike(DIGEST, NO_PARTS, "u" + i);
      remote.merge(local.strikesAfter(remote.lastChange()));
    }
    assertThat(local.strikesAfter(0)).hasSizeLessThanOrEqualTo(8);
    assertThat(remote.strikesAfter(0)).hasSizeLessThanOrEqualTo(8);
    assertThat(local.isQuarantined(DIGEST)).isTrue();
    assertThat(remote.isQuarantined(DIGEST)).isTrue();
  }

  /** Guards against daemons that send each other strikes without end, each dropping others. */
  @Test
  public void shouldStopExchangingStrikesOfManyUpstreamsThatCrashTogether() {
    for (int i = 0; i < 20; i++) {
      clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(1));
      (i % 2 == 0 ? local : remote).recordStrike(DIGEST, NO_PARTS, "u" + i);
    }
    int rounds = 0;
    boolean changed = true;
    while (changed) {
      List<DigestStrike> toRemote = local.strikesAfter(0);
      List<DigestStrike> toLocal = remote.strikesAfter(0);
      clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
      changed = remote.merge(toRemote) | local.merge(toLocal);
      assertThat(++rounds).isLessThan(10);
    }
    assertThat(local.isQuarantined(DIGEST)).isTrue();
    assertThat(remote.isQuarantined(DIGEST)).isTrue();
  }

  /** Guards against a restart that prolongs the quarantine by the age that a file did not have. */
  @Test
  public void shouldTakeOverTheOlderTimeOfAStrikeThatAnotherDaemonKnows() {
    for (int i = 0; i < 3; i++) {
      local.recordStrike(DIGEST, NO_PARTS, "u" + i);
    }
    List<DigestStrike> stored = local.strikesAtLimit();
    clock.addAndGet(TimeUnit.MINUTES.toNanos(9));
    remote.merge(stored);
    assertThat(remote.merge(local.strikesAfter(0))).isFalse();
    clock.addAndGet(TimeUnit.MINUTES.toNanos(2));
    assertThat(remote.isQuarantined(DIGEST)).isFalse();
  }

  /** Guards against other daemons that drop the oldest of three strikes, so that two remain. */
  @Test
  public void shouldQuarantineAtAllDaemonsARequestThatCrashesUpstreamsEveryFortyMinutes() {
    for (int i = 0; i < 3; i++) {
      clock.addAndGet(TimeUnit.MINUTES.toNanos(40));
      local.recordStrike(DIGEST, NO_PARTS, "u" + i);
    }
    remote.merge(local.strikesAfter(0));
    assertThat(remote.isQuarantined(DIGEST)).isTrue();
  }

  @Test
  public void shouldTellTheTimeUntilTheQuarantineEnds() {
    local.recordStrike(DIGEST, NO_PARTS, "u1");
    local.recordStrike(DIGEST, NO_PARTS, "u2");
    assertThat(local.remainingMillis(DIGEST)).isZero();
    local.recordStrike(DIGEST, NO_PARTS, "u3");
    clock.addAndGet(TimeUnit.MINUTES.toNanos(4));
    assertThat(local.remainingMillis(DIGEST)).isEqualTo(TimeUnit.MINUTES.toMillis(6));
  }
}
