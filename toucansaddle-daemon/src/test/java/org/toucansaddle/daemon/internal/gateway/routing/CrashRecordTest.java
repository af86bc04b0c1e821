package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link CrashRecord}. */
public class CrashRecordTest {

  private static final long DIGEST = 7;

  private AtomicLong clock;
  private CrashRecord here;
  private CrashRecord there;

  @BeforeMethod
  public void createRecords() {
    clock = new AtomicLong();
    here = new CrashRecord(clock::get);
    there = new CrashRecord(clock::get);
  }

  @Test
  public void shouldRefuseARequestThatThreeUpstreamsDiedOfAtAnyRouters() {
    here.strike(DIGEST, "u1");
    there.strike(DIGEST, "u2");
    there.strike(DIGEST, "u3");
    assertThat(here.isQuarantined(DIGEST)).isFalse();

    here.merge(there.toTell());
    assertThat(here.isQuarantined(DIGEST)).isTrue();
  }

  @Test
  public void shouldCountAnUpstreamOnceHoweverOftenItIsTold() {
    for (int i = 0; i < 5; i++) {
      here.strike(DIGEST, "u1");
      there.merge(here.toTell());
    }
    assertThat(there.isQuarantined(DIGEST)).isFalse();
  }

  @Test
  public void shouldClearARequestThatRanToItsEnd() {
    here.strike(DIGEST, "u1");
    here.strike(DIGEST, "u2");
    here.clear(DIGEST);
    here.strike(DIGEST, "u3");
    assertThat(here.isQuarantined(DIGEST)).isFalse();
  }

  @Test
  public void shouldEndTheQuarantineAfterAMinute() {
    here.strike(DIGEST, "u1");
    here.strike(DIGEST, "u2");
    here.strike(DIGEST, "u3");
    clock.addAndGet(TimeUnit.SECONDS.toNanos(61));
    assertThat(here.isQuarantined(DIGEST)).isFalse();
  }
}
