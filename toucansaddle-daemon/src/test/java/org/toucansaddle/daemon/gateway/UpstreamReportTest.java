package org.toucansaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/** Tests of {@link UpstreamReport}. */
public class UpstreamReportTest {

  private static UpstreamReport report(State state, long startedAt, long sequence) {
    return new UpstreamReport("u", "desk", "10.0.0.1:80", "z", 6, state, startedAt, sequence);
  }

  @DataProvider
  public Object[][] pairs() {
    UpstreamReport held = report(State.READY, 100, 5);
    UpstreamReport gone = report(State.GONE, 100, 5);
    return new Object[][] {
      {"a later report", held, report(State.DRAINING, 100, 6), true},
      {"a report that was overtaken", held, report(State.DRAINING, 100, 4), false},
      {"the same report again", held, report(State.READY, 100, 5), false},
      {"a new start, whose sequence begins anew", held, report(State.READY, 200, 1), true},
      {"a delayed report of an earlier start", held, report(State.READY, 50, 99), false},
      {"a farewell without a sequence", held, report(State.GONE, 100, 0), true},
      {"a report after the farewell", gone, report(State.READY, 100, 9), false},
      {"a start after the farewell", gone, report(State.READY, 101, 1), true},
    };
  }

  @Test(dataProvider = "pairs")
  public void shouldKeepTheNewestWhateverTheOrderOfArrival(
      String what, UpstreamReport held, UpstreamReport arriving, boolean supersedes) {
    assertThat(arriving.supersedes(held)).as(what).isEqualTo(supersedes);
  }
}
