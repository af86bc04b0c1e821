package org.toucansaddle.daemon.internal.gateway.relay;

import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;

/**
 * Where a call was sent, for the log. Immutable.
 *
 * @param upstream id of the upstream
 * @param softwareVersion version of the upstream's software; empty if unknown
 * @param reason why it was selected
 * @param reportAgeMillis age of its last report at that time, in milliseconds
 */
record Dispatch(String upstream, String softwareVersion, String reason, long reportAgeMillis) {

  /** A call that was not sent. */
  static final Dispatch NONE = new Dispatch("", "", "", -1);

  static Dispatch of(Selection selected, long nowNanos) {
    long ageNanos = nowNanos - selected.upstream().lastReportAtNanos();
    return new Dispatch(
        selected.upstream().id(),
        selected.upstream().report().softwareVersion(),
        selected.reason().name(),
        ageNanos / 1_000_000);
  }
}
