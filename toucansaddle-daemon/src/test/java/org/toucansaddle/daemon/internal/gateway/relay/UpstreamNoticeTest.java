package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamNotice}. */
public class UpstreamNoticeTest {

  private static final String DATE = "Fri, 04 Dec 2026 18:00:00 GMT";

  @DataProvider
  public Object[][] limits() {
    return new Object[][] {{"5.8", 5.8}, {" 4 ", 4.0}, {"0", 0.0}, {"1e3", 1_000.0}};
  }

  @Test(dataProvider = "limits")
  public void shouldReadLimit(String text, double limit) {
    UpstreamNotice notice = UpstreamNotice.parse(text, null, null);
    assertThat(notice.requestsPerSecond()).isEqualTo(OptionalDouble.of(limit));
    assertThat(notice.malformed()).isEmpty();
  }

  @DataProvider
  public Object[][] malformedNumbers() {
    return new Object[][] {{""}, {"many"}, {"-1"}, {"NaN"}, {"Infinity"}, {"5,8"}, {DATE}};
  }

  /** Guards against a malformed value that takes an upstream away or lifts a limit. */
  @Test(dataProvider = "malformedNumbers")
  public void shouldTellMalformedLimitFromNone(String text) {
    UpstreamNotice notice = UpstreamNotice.parse(text, null, null);
    assertThat(notice.requestsPerSecond()).isEmpty();
    assertThat(notice.malformedLimit()).isTrue();
    assertThat(notice.malformed()).containsExactly(text);
  }

  @Test(dataProvider = "malformedNumbers")
  public void shouldAskForNoPauseWithoutANumber(String text) {
    UpstreamNotice notice = UpstreamNotice.parse(null, null, text);
    assertThat(notice.pauseMillis()).isZero();
    assertThat(notice.malformedLimit()).isFalse();
    assertThat(notice.malformed()).containsExactly(text);
  }

  @DataProvider
  public Object[][] pauses() {
    return new Object[][] {{"2", 2_000}, {"0.25", 250}, {"0", 0}, {"7200", 7_200_000}};
  }

  @Test(dataProvider = "pauses")
  public void shouldReadPause(String text, long millis) {
    assertThat(UpstreamNotice.parse(null, null, text).pauseMillis()).isEqualTo(millis);
  }

  @DataProvider
  public Object[][] leaving() {
    return new Object[][] {
      {"1", true, List.of()},
      {" 1 ", true, List.of()},
      {"0", false, List.of()},
      {"yes", false, List.of("yes")},
      {"", false, List.of("")}
    };
  }

  @Test(dataProvider = "leaving")
  public void shouldReadWhetherTheUpstreamLeaves(
      String text, boolean leaves, List<String> malformed) {
    UpstreamNotice notice = UpstreamNotice.parse(null, text, null);
    assertThat(notice.leaving()).isEqualTo(leaves);
    assertThat(notice.malformed()).isEqualTo(malformed);
  }

  @Test
  public void shouldReadAllAtOnce() {
    UpstreamNotice notice = UpstreamNotice.parse("-3", "1", "1.5");
    assertThat(notice.leaving()).isTrue();
    assertThat(notice.pauseMillis()).isEqualTo(1_500);
    assertThat(notice.malformedLimit()).isTrue();
    assertThat(notice.malformed()).containsExactly("-3");
  }

  @Test
  public void shouldReadResponseThatSaysNothing() {
    UpstreamNotice notice = UpstreamNotice.parse(null, null, null);
    assertThat(notice.requestsPerSecond()).isEmpty();
    assertThat(notice.leaving()).isFalse();
    assertThat(notice.pauseMillis()).isZero();
    assertThat(notice.malformed()).isEmpty();
  }
}
