package org.toucansaddle.daemon.internal.gateway.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RequestQuarantine}. */
public class RequestQuarantineTest {

  private static final long DIGEST = 7;

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
    local.recordStrike(DIGEST, "u1");
    remote.recordStrike(DIGEST, "u2");
    remote.recordStrike(DIGEST, "u3");
    assertThat(local.isQuarantined(DIGEST)).isFalse();

    local.merge(remote.strikesAfter(0));
    assertThat(local.isQuarantined(DIGEST)).isTrue();
  }

  @Test
  public void shouldCountAnUpstreamOnceWhenItsStrikeIsReportedRepeatedly() {
    for (int i = 0; i < 5; i++) {
      local.recordStrike(DIGEST, "u1");
      remote.merge(local.strikesAfter(0));
    }
    assertThat(remote.isQuarantined(DIGEST)).isFalse();
  }

  @Test
  public void shouldRemoveTheStrikesOfACompletedRequest() {
    local.recordStrike(DIGEST, "u1");
    local.recordStrike(DIGEST, "u2");
    local.clear(DIGEST);
    local.recordStrike(DIGEST, "u3");
    assertThat(local.isQuarantined(DIGEST)).isFalse();
  }

  @Test
  public void shouldEndTheQuarantineWhenTheStrikesExpire() {
    local.recordStrike(DIGEST, "u1");
    local.recordStrike(DIGEST, "u2");
    local.recordStrike(DIGEST, "u3");
    clock.addAndGet(TimeUnit.SECONDS.toNanos(61));
    assertThat(local.isQuarantined(DIGEST)).isFalse();
  }
}
