package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamNotice}. */
public class UpstreamNoticeTest {

  @DataProvider
  public Object[][] limits() {
    return new Object[][] {{"5.8", 5.8}, {" 4 ", 4.0}, {"0", 0.0}, {"1e3", 1_000.0}};
  }

  @Test(dataProvider = "limits")
  public void shouldReadLimit(String text, double limit) {
    UpstreamNotice notice = UpstreamNotice.parse(text);
    assertThat(notice.requestsPerSecond()).isEqualTo(OptionalDouble.of(limit));
    assertThat(notice.malformedLimit()).isEmpty();
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {
      {""}, {"many"}, {"-1"}, {"NaN"}, {"Infinity"}, {"5,8"}, {"Fri, 04 Dec 2026 18:00:00 GMT"}
    };
  }

  /** Guards against a malformed value that takes an upstream away or lifts a limit. */
  @Test(dataProvider = "malformed")
  public void shouldTellMalformedLimitFromNone(String text) {
    UpstreamNotice notice = UpstreamNotice.parse(text);
    assertThat(notice.requestsPerSecond()).isEmpty();
    assertThat(notice.malformedLimit()).contains(text);
  }

  @Test
  public void shouldReadResponseWithoutLimit() {
    UpstreamNotice notice = UpstreamNotice.parse(null);
    assertThat(notice.requestsPerSecond()).isEmpty();
    assertThat(notice.malformedLimit()).isEmpty();
  }
}
