package org.toucansaddle.coordination.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ReportInterval}. */
public class ReportIntervalTest {

  @DataProvider
  public Object[][] intervals() {
    return new Object[][] {
      {0, 100},
      {1, 100},
      {8, 100},
      {12, 100},
      {13, 200},
      {24, 200},
      {25, 400},
      {32, 400},
      {95, 400},
      {420, 400},
    };
  }

  @Test(dataProvider = "intervals")
  public void shouldReportAsOftenAsTheNumberOfRoutersAllows(int routers, int millis) {
    assertThat(ReportInterval.millis(routers)).isEqualTo(millis);
  }

  @Test
  public void shouldTakeCountsForHalfAnIntervalOld() {
    assertThat(ReportInterval.meanAgeNanos(8)).isEqualTo(50_000_000L);
    assertThat(ReportInterval.meanAgeNanos(95)).isEqualTo(200_000_000L);
  }
}
