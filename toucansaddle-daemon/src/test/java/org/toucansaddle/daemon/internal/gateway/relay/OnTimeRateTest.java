package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link OnTimeRate}: new routes, routes of slow work, and a few stuck upstreams. */
public class OnTimeRateTest {

  @DataProvider
  public Object[][] patterns() {
    return new Object[][] {
      // requests, interval of late requests (0: none is late), mostly on time
      {5, 0, false},
      {40, 0, true},
      {200, 1, false},
      {200, 10, true},
      {200, 2, false},
    };
  }

  @Test(dataProvider = "patterns")
  public void shouldDistinguishRareDelaysFromSlowWork(
      int requests, int lateInterval, boolean mostlyOnTime) {
    OnTimeRate onTimeRate = new OnTimeRate();
    for (int i = 0; i < requests; i++) {
      onTimeRate.addSample(lateInterval == 0 || i % lateInterval != 0);
    }
    assertThat(onTimeRate.isMostlyOnTime()).isEqualTo(mostlyOnTime);
  }
}
