package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RequestQuarantine}. */
public class RequestQuarantineTest {

  private static final long DIGEST = 7;

  private AtomicLong clock;
  private RequestQuarantine here;
  private RequestQuarantine there;

  @BeforeMethod
  public void createRecords() {
    clock = new AtomicLong();
    here = new RequestQuarantine(clock::get);
    there = new RequestQuarantine(clock::get);
  }

  @Test
  public void shouldRefuseARequestThatThreeUpstreamsDiedOfAtAnyRouters() {
    here.recordStrike(DIGEST, "u1");
    there.recordStrike(DIGEST, "u2");
    there.recordStrike(DIGEST, "u3");
    assertThat(here.isQuarantined(DIGEST)).isFalse();

    here.merge(there.strikesToReport());
    assertThat(here.isQuarantined(DIGEST)).isTrue();
  }

  @Test
  public void shouldCountAnUpstreamOnceHoweverOftenItIsTold() {
    for (int i = 0; i < 5; i++) {
      here.recordStrike(DIGEST, "u1");
      there.merge(here.strikesToReport());
    }
    assertThat(there.isQuarantined(DIGEST)).isFalse();
  }

  @Test
  public void shouldClearARequestThatRanToItsEnd() {
    here.recordStrike(DIGEST, "u1");
    here.recordStrike(DIGEST, "u2");
    here.clear(DIGEST);
    here.recordStrike(DIGEST, "u3");
    assertThat(here.isQuarantined(DIGEST)).isFalse();
  }

  @Test
  public void shouldEndTheQuarantineAfterAMinute() {
    here.recordStrike(DIGEST, "u1");
    here.recordStrike(DIGEST, "u2");
    here.recordStrike(DIGEST, "u3");
    clock.addAndGet(TimeUnit.SECONDS.toNanos(61));
    assertThat(here.isQuarantined(DIGEST)).isFalse();
  }
}
