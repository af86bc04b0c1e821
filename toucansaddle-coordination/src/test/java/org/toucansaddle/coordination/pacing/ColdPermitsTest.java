package org.toucansaddle.coordination.pacing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how a router uses permits. */
public class ColdPermitsTest {

  private static final ColdAsk ASK = new ColdAsk("s", "u", 5, 1);

  private ColdPermits permits;

  @BeforeMethod
  public void createPermits() {
    permits = new ColdPermits();
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static ColdPermit permit(int requests, long report) {
    return new ColdPermit("u", 5, requests, 800, report);
  }

  private boolean take(long millis) {
    return permits.take("u", 5, nanos(millis));
  }

  @Test
  public void shouldAskOnceForEachReport() {
    permits.recordPassedOver("s", "u", 5);
    assertThat(permits.takeAsks()).containsExactly(ASK);
    assertThat(permits.takeAsks()).isEmpty();
  }

  @Test
  public void shouldCountRequestsPassedOver() {
    permits.recordPassedOver("s", "u", 5);
    permits.recordPassedOver("s", "u", 5);
    assertThat(permits.takeAsks()).containsExactly(new ColdAsk("s", "u", 5, 2));
  }

  @Test
  public void shouldSendPermittedRequestsOnly() {
    long report = permits.recordReport(0);
    permits.receive(new ColdPermit("u", 5, 1, 800, report), nanos(10));
    assertThat(permits.holds("u", 5, nanos(10))).isTrue();
    assertThat(permits.take("u", 5, nanos(10))).isTrue();
    assertThat(permits.take("u", 5, nanos(10))).isFalse();
    assertThat(permits.holds("u", 5, nanos(10))).isFalse();
  }

  // A permit for the start before would let requests through that nobody counts for this one.
  @Test
  public void shouldNotUsePermitOfOtherStart() {
    permits.receive(new ColdPermit("u", 4, 1, 800, permits.recordReport(0)), nanos(10));
    assertThat(permits.take("u", 5, nanos(10))).isFalse();
  }

  // A permit that was delayed on its way must not last longer than its issuer counts on.
  @Test
  public void shouldCountLifeFromReportThatAsked() {
    long report = permits.recordReport(nanos(100));
    permits.receive(new ColdPermit("u", 5, 2, 800, report), nanos(850));
    assertThat(permits.take("u", 5, nanos(899))).isTrue();
    assertThat(permits.take("u", 5, nanos(900))).isFalse();
    assertThat(permits.heldCount()).isZero();
  }

  @Test
  public void shouldIgnorePermitThatArrivesTwiceOrAnswersUnknownReport() {
    long report = permits.recordReport(0);
    permits.receive(permit(1, report), nanos(10));
    permits.receive(permit(1, report), nanos(20));
    permits.receive(permit(1, report + 7), nanos(20));
    assertThat(take(20)).isTrue();
    assertThat(take(20)).isFalse();
  }
}
