package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.upstream.ReportedLoad;
import org.toucansaddle.coordination.upstream.UpstreamCondition;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * Where a call was sent, for the log. Immutable.
 *
 * @param upstream id of the upstream
 * @param softwareVersion version of the upstream's software; empty if unknown
 * @param reason why it was selected
 * @param reportAgeMillis age of its last report at that time, in milliseconds
 * @param reportedLoad requests that it reported as running and waiting; empty if it reported none
 *     lately
 * @param loadAgeMillis age of that report, in milliseconds; -1 if there is none
 * @param workMultiple learned time of its work as a multiple of the nominal time
 */
record Dispatch(
    String upstream,
    String softwareVersion,
    String reason,
    long reportAgeMillis,
    String reportedLoad,
    long loadAgeMillis,
    double workMultiple) {

  /** A call that was not sent. */
  static final Dispatch NONE = new Dispatch("", "", "", -1, "", -1, 0);

  static Dispatch of(Selection selected, long nowNanos) {
    Upstream upstream = selected.upstream();
    UpstreamCondition condition = upstream.condition();
    return new Dispatch(
        upstream.id(),
        upstream.report().softwareVersion(),
        selected.reason().name(),
        TimeUnit.NANOSECONDS.toMillis(nowNanos - upstream.lastReportAtNanos()),
        condition.loadReport(nowNanos).map(report -> text(report.load())).orElse(""),
        condition
            .loadReport(nowNanos)
            .map(report -> TimeUnit.NANOSECONDS.toMillis(nowNanos - report.atNanos()))
            .orElse(-1L),
        condition.multiple(1, nowNanos));
  }

  private static String text(ReportedLoad load) {
    return load.running() + "+" + load.waiting();
  }
}
