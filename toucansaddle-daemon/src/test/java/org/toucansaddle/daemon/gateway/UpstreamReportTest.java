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
  public Object[][] reportPairs() {
    UpstreamReport current = report(State.READY, 100, 5);
    UpstreamReport gone = report(State.GONE, 100, 5);
    return new Object[][] {
      {"a later report", current, report(State.DRAINING, 100, 6), true},
      {"a report that arrives out of order", current, report(State.DRAINING, 100, 4), false},
      {"a duplicate report", current, report(State.READY, 100, 5), false},
      {"a new start, whose sequence restarts", current, report(State.READY, 200, 1), true},
      {"a delayed report of an earlier start", current, report(State.READY, 50, 99), false},
      {"a deregistration without a sequence number", current, report(State.GONE, 100, 0), true},
      {"a report after the deregistration", gone, report(State.READY, 100, 9), false},
      {"a new start after the deregistration", gone, report(State.READY, 101, 1), true},
    };
  }

  @Test(dataProvider = "reportPairs")
  public void shouldSupersedeOnlyOlderReports(
      String description, UpstreamReport current, UpstreamReport arriving, boolean supersedes) {
    assertThat(arriving.supersedes(current)).as(description).isEqualTo(supersedes);
  }

  @DataProvider
  public Object[][] versionPairs() {
    UpstreamReport unversioned = report(State.READY, 100, 6);
    return new Object[][] {
      {"no version, the same start", unversioned, 100, "v1"},
      {"no version, another start", unversioned, 99, ""},
      {"a version of its own", unversioned.withSoftwareVersion("v2"), 100, "v2"},
    };
  }

  @Test(dataProvider = "versionPairs")
  public void shouldTakeVersionOfAnotherReportOnlyIfItHasNone(
      String description, UpstreamReport report, long otherStart, String version) {
    UpstreamReport other = report(State.DRAINING, otherStart, 5).withSoftwareVersion("v1");
    UpstreamReport completed = report.completedBy(other);
    assertThat(completed).as(description).isEqualTo(report.withSoftwareVersion(version));
  }
}
