package org.toucansaddle.daemon.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.sharing.ReportInterval;

/** Tests of {@link ReportSchedule}. */
public class ReportScheduleTest {

  private long nowNanos;
  private int everything;
  private int sums;

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{8, 10, 30}, {16, 10, 10}, {95, 10, 0}, {420, 10, 0}};
  }

  /** Guards against few routers that decide on counts as old as those of a large fleet. */
  @Test(dataProvider = "fleets")
  public void shouldSendSumsMoreOftenInSmallFleets(int routers, int allReports, int sumReports) {
    run(routers, ReportInterval.MIN_MILLIS);
    assertThat(everything).isEqualTo(allReports);
    assertThat(sums).isEqualTo(sumReports);
  }

  @DataProvider
  public Object[][] ticks() {
    return new Object[][] {{100}, {103}, {110}};
  }

  /**
   * Guards against intervals that fall between ticks, so that reports come up to twice as often.
   */
  @Test(dataProvider = "ticks")
  public void shouldKeepReportsOfAllRoutersBounded(int tickMillis) {
    for (int routers = 1; routers <= 48; routers++) {
      run(routers, tickMillis);
      int reports = routers * (everything + sums);
      assertThat(reports).as("routers %d", routers).isLessThanOrEqualTo(4 * 120);
    }
  }

  /** Ticks that come late: guards against everything being said less often for the sums. */
  @Test
  public void shouldSayEverythingInTimeWhenTicksAreLate() {
    run(8, 130);
    assertThat(everything).isEqualTo(10);
  }

  private void run(int routers, int tickMillis) {
    ReportSchedule schedule =
        new ReportSchedule(() -> nowNanos, () -> routers, () -> everything++, () -> sums++);
    everything = 0;
    sums = 0;
    long end = nowNanos + TimeUnit.SECONDS.toNanos(4);
    while (nowNanos < end) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(tickMillis);
      schedule.tick();
    }
  }
}
