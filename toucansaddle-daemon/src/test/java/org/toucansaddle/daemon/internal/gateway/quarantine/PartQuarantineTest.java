package org.toucansaddle.daemon.internal.gateway.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.DigestStrike;

/** Tests of {@link RequestQuarantine} with requests that share parts of their prompts. */
public class PartQuarantineTest {

  private static final long SYSTEM = 1;
  private static final long SUBJECT = 2;
  private static final long DEADLY = 3;
  private static final long OTHER_DEADLY = 4;
  private static final long BYSTANDER = 5;

  /** Digest of a whole request that comes again. */
  private static final long EQUAL_REQUEST = 100;

  private static final Set<Long> DEADLY_REQUEST = Set.of(SYSTEM, SUBJECT, DEADLY);
  private static final Set<Long> SOUND_REQUEST = Set.of(SYSTEM, SUBJECT);

  private AtomicLong clock;
  private RequestQuarantine local;
  private RequestQuarantine remote;
  private long requests;
  private int crashes;

  @BeforeMethod
  public void createQuarantines() {
    clock = new AtomicLong();
    local = new RequestQuarantine(clock::get);
    remote = new RequestQuarantine(clock::get);
    requests = 1_000;
    crashes = 0;
  }

  /** Crashes one more upstream while it runs requests, of which no two are equal. */
  @SafeVarargs
  private void crash(RequestQuarantine quarantine, Set<Long>... running) {
    crashes++;
    for (Set<Long> parts : running) {
      quarantine.recordStrike(++requests, parts, "u" + crashes);
    }
  }

  private void passSecond() {
    clock.addAndGet(TimeUnit.SECONDS.toNanos(1));
  }

  private boolean isRefused(RequestQuarantine quarantine, Set<Long> parts) {
    return quarantine.remainingMillisOfParts(parts) > 0;
  }

  @Test
  public void shouldRefuseRequestsWithPartThatCrashedThreeUpstreamsOverAllRouters() {
    for (int i = 0; i < 3; i++) {
      assertThat(isRefused(local, DEADLY_REQUEST)).isFalse();
      crash(i == 0 ? local : remote, DEADLY_REQUEST);
      passSecond();
    }
    local.merge(remote.spreadStrikesAfter(0));
    assertThat(isRefused(local, DEADLY_REQUEST)).isTrue();
    assertThat(local.suspectedPartCount()).isEqualTo(3);
    assertThat(local.quarantinedCount()).isZero();
    local.recordSurvival(SOUND_REQUEST);
    assertThat(isRefused(local, Set.of(BYSTANDER, DEADLY))).isTrue();
  }

  /** Guards against sound requests refused for a part that always comes with the deadly one. */
  @Test
  public void shouldServeSoundRequestsWithTheOtherPartsOfDeadlyOnes() {
    for (int i = 0; i < 6; i++) {
      crash(local, DEADLY_REQUEST, SOUND_REQUEST, i < 3 ? Set.of(BYSTANDER) : Set.of());
      passSecond();
    }
    assertThat(isRefused(local, DEADLY_REQUEST)).isTrue();
    assertThat(isRefused(local, SOUND_REQUEST)).isFalse();
    assertThat(isRefused(local, Set.of(SYSTEM))).isFalse();
    assertThat(isRefused(local, Set.of(BYSTANDER))).isFalse();
  }

  /** Guards against the part that came with the deadly one being served although it is deadly. */
  @Test
  public void shouldRefusePartThatCrashesUpstreamsWithoutTheOther() {
    for (int i = 0; i < 3; i++) {
      crash(local, DEADLY_REQUEST);
      passSecond();
    }
    for (int i = 0; i < 3; i++) {
      assertThat(isRefused(local, SOUND_REQUEST)).isFalse();
      crash(local, SOUND_REQUEST);
      passSecond();
    }
    assertThat(isRefused(local, SOUND_REQUEST)).isTrue();
  }

  @Test
  public void shouldTellTwoDeadlyPartsFromTheirBystander() {
    for (int i = 0; i < 10; i++) {
      long deadly = i % 2 == 0 ? DEADLY : OTHER_DEADLY;
      crash(local, Set.of(SYSTEM, deadly), i < 3 ? Set.of(BYSTANDER) : Set.of());
      local.recordSurvival(Set.of(SYSTEM));
      passSecond();
    }
    assertThat(isRefused(local, Set.of(SYSTEM, DEADLY))).isTrue();
    assertThat(isRefused(local, Set.of(SYSTEM, OTHER_DEADLY))).isTrue();
    assertThat(isRefused(local, Set.of(SYSTEM, DEADLY, OTHER_DEADLY))).isTrue();
    assertThat(isRefused(local, Set.of(SYSTEM, BYSTANDER))).isFalse();
  }

  /** Guards against a common part refused while the second of two deadly parts is not suspected. */
  @Test
  public void shouldServeRequestsWithCommonPartWhileOneOfTwoDeadlyPartsIsSuspected() {
    local.recordSurvival(SOUND_REQUEST);
    for (int i = 0; i < 5; i++) {
      crash(local, i % 2 == 0 ? DEADLY_REQUEST : Set.of(SYSTEM, SUBJECT, OTHER_DEADLY));
      passSecond();
    }
    assertThat(isRefused(local, DEADLY_REQUEST)).isTrue();
    assertThat(isRefused(local, SOUND_REQUEST)).isFalse();
  }

  /** Crashes one more upstream while it runs a request that comes again and again. */
  private void crashEqual(RequestQuarantine quarantine, long digest, Set<Long> parts) {
    crashes++;
    quarantine.recordStrike(digest, parts, "u" + crashes);
    passSecond();
  }

  /** Guards against sound requests refused for a part that they share with one that is deadly. */
  @Test
  public void shouldServeRequestsWithThePartsOfOneThatCrashesUpstreamsByItself() {
    for (int i = 0; i < 3; i++) {
      crashEqual(i == 0 ? remote : local, EQUAL_REQUEST, SOUND_REQUEST);
    }
    local.merge(remote.strikesAfter(0));
    assertThat(local.isQuarantined(EQUAL_REQUEST)).isTrue();
    assertThat(isRefused(local, SOUND_REQUEST)).isFalse();
    crash(local, SOUND_REQUEST);
    assertThat(isRefused(local, SOUND_REQUEST)).as("after one more crash").isFalse();
  }

  /** Guards against two crashes under one request that make an ordinary one prove a part guilty. */
  @Test
  public void shouldServeRequestsWithThePartsOfOneThatCrashedTwoUpstreamsBeforeAnOrdinaryCrash() {
    crashEqual(local, EQUAL_REQUEST, SOUND_REQUEST);
    crashEqual(local, EQUAL_REQUEST, SOUND_REQUEST);
    crash(local, SOUND_REQUEST);
    passSecond();
    assertThat(isRefused(local, SOUND_REQUEST)).isFalse();
    crash(local, SOUND_REQUEST);
    assertThat(isRefused(local, SOUND_REQUEST)).as("after two other crashes").isTrue();
  }

  /** Guards against a deadly part that goes on because each request with it comes again. */
  @Test
  public void shouldRefusePartAfterFiveCrashesIfRequestsWithItComeAgain() {
    for (int i = 0; i < 5; i++) {
      assertThat(isRefused(local, DEADLY_REQUEST)).as("after %s crashes", i).isFalse();
      crashEqual(local, EQUAL_REQUEST + i / 3, DEADLY_REQUEST);
    }
    assertThat(isRefused(local, DEADLY_REQUEST)).isTrue();
  }

  /** Guards against a bystander of all crashes that hides the deadly part. */
  @Test
  public void shouldRefusePartAfterFiveCrashesBesideARequestThatWasRunningInThreeOfThem() {
    for (int i = 0; i < 5; i++) {
      crash(local, DEADLY_REQUEST);
      if (i < 3) {
        local.recordStrike(EQUAL_REQUEST, Set.of(), "u" + crashes);
      }
      passSecond();
    }
    assertThat(isRefused(local, DEADLY_REQUEST)).isTrue();
  }

  @Test
  public void shouldSuspectProvenPartsIfARequestHasNoOthers() {
    local.recordSurvival(SOUND_REQUEST);
    for (int i = 0; i < 3; i++) {
      crash(local, SOUND_REQUEST);
      passSecond();
    }
    assertThat(isRefused(local, SOUND_REQUEST)).isTrue();
  }

  @Test
  public void shouldSuspectPartAgainThatWasProvenLongAgo() {
    local.recordSurvival(Set.of(DEADLY));
    clock.addAndGet(TimeUnit.MINUTES.toNanos(3));
    for (int i = 0; i < 3; i++) {
      crash(local, Set.of(DEADLY, BYSTANDER + i));
      passSecond();
    }
    assertThat(isRefused(local, Set.of(DEADLY))).isTrue();
  }

  @Test
  public void shouldClearPartOnWhichAnUpstreamWroteAResponse() {
    for (int i = 0; i < 20; i++) {
      crash(local, SOUND_REQUEST);
      remote.merge(local.strikesAfter(0));
      passSecond();
      if (i % 2 == 1) {
        long change = remote.lastChange();
        remote.recordSurvival(SOUND_REQUEST);
        local.mergeSuccesses(remote.successesAfter(change));
      }
      assertThat(isRefused(local, SOUND_REQUEST)).isFalse();
    }
  }

  /** Guards against common parts suspected after a failure of many upstreams at one moment. */
  @Test
  public void shouldCountUpstreamsOnceThatCrashedTogether() {
    for (int i = 0; i < 6; i++) {
      crash(local, SOUND_REQUEST);
      clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
    }
    assertThat(isRefused(local, SOUND_REQUEST)).isFalse();
  }

  /** Guards against daemons that send each other strikes without end, each dropping others. */
  @Test
  public void shouldStopExchangingStrikesOfManyUpstreamsThatCrashTogether() {
    for (int i = 0; i < 40; i++) {
      clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(1));
      crash(i % 2 == 0 ? local : remote, SOUND_REQUEST);
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
    assertThat(isRefused(local, SOUND_REQUEST)).isFalse();
  }

  /** Guards against old crashes that hide those of a part that became deadly since. */
  @Test
  public void shouldRefusePartThatBecameDeadlyAfterManyUpstreamsCrashedTogether() {
    for (int i = 0; i < 40; i++) {
      crash(local, Set.of(DEADLY));
    }
    for (int i = 0; i < 3; i++) {
      clock.addAndGet(TimeUnit.SECONDS.toNanos(2));
      crash(local, Set.of(DEADLY));
    }
    assertThat(isRefused(local, Set.of(DEADLY))).isTrue();
  }

  /** Guards against strikes of a part that an older daemon forwards as those of a request. */
  @Test
  public void shouldServeSoundRequestsIfStrikesOfTheDeadlyPartArrivedWithoutTheirKind() {
    crash(remote, Set.of(DEADLY));
    List<DigestStrike> forwarded =
        remote.strikesAfter(0).stream().map(s -> s.toBuilder().clearPart().build()).toList();
    local.merge(forwarded);
    for (int i = 0; i < 3; i++) {
      passSecond();
      crash(local, DEADLY_REQUEST);
    }
    assertThat(isRefused(local, DEADLY_REQUEST)).isTrue();
    assertThat(isRefused(local, SOUND_REQUEST)).isFalse();
  }

  @Test
  public void shouldEndTenMinutesAfterTheLastCrash() {
    for (int i = 0; i < 3; i++) {
      passSecond();
      crash(local, DEADLY_REQUEST);
    }
    clock.addAndGet(TimeUnit.MINUTES.toNanos(4));
    assertThat(local.remainingMillisOfParts(DEADLY_REQUEST))
        .isEqualTo(TimeUnit.MINUTES.toMillis(6));
    clock.addAndGet(TimeUnit.MINUTES.toNanos(7));
    assertThat(isRefused(local, DEADLY_REQUEST)).isFalse();
  }
}
