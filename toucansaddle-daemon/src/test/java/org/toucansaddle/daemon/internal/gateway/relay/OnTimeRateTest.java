package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Patterns: a new route, a route of slow work, a few hanging upstreams among many. */
public class OnTimeRateTest {

  @DataProvider
  public Object[][] patterns() {
    return new Object[][] {
      // requests, one late in so many (0: none), usual
      {5, 0, false},
      {40, 0, true},
      {200, 1, false},
      {200, 10, true},
      {200, 2, false},
    };
  }

  @Test(dataProvider = "patterns")
  public void shouldDistinguishRareDelaysFromSlowWork(int requests, int lateEach, boolean usual) {
    OnTimeRate punctuality = new OnTimeRate();
    for (int i = 0; i < requests; i++) {
      punctuality.addSample(lateEach == 0 || i % lateEach != 0);
    }
    assertThat(punctuality.isMostlyOnTime()).isEqualTo(usual);
  }
}
