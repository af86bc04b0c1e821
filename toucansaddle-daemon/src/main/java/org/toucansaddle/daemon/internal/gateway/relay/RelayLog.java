package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.gateway.routing.HangDetector.Finding;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/** Logs the decisions about requests, one line each. Stateless and thread-safe. */
final class RelayLog {

  private static final Logger LOG = LoggerFactory.getLogger("decision.relay");

  /** Characters of a value from outside that are logged. */
  private static final int MAX_LOGGED_VALUE = 40;

  /** Decimal shift of the logged multiple of the nominal time of work. */
  private static final double WORK_MULTIPLE_DIGITS = 100;

  private RelayLog() {}

  static void attemptFailed(RelayedCall call, Dispatch dispatch, String outcome, String cause) {
    LOG.info(
        "attempt_failed request={} upstream={} upstream_version={} attempt={} outcome={} digest={}"
            + " strikes={} part_strikes={} shared_parts={} why=\"{}\"",
        call.head().requestId(),
        dispatch.upstream(),
        dispatch.softwareVersion(),
        call.attempts(),
        outcome,
        Long.toHexString(call.quarantine().digest()),
        call.quarantine().strikes(),
        call.quarantine().partStrikes(),
        call.head().sharedPrefixKey(),
        cause);
  }

  /** Logs why a request that crashes upstreams is refused. */
  static void quarantined(RelayedCall call) {
    LOG.info(
        "quarantined request={} digest={} strikes={} part_strikes={} shared_parts={}",
        call.head().requestId(),
        Long.toHexString(call.quarantine().digest()),
        call.quarantine().strikes(),
        call.quarantine().partStrikes(),
        call.head().sharedPrefixKey());
  }

  /** Logs that an upstream does not respond, and whether it is skipped from now on. */
  static void upstreamStuck(
      RelayedCall call, String upstream, Finding finding, long silentMillis, boolean skippedNow) {
    LOG.info(
        "upstream_stuck upstream={} finding={} request={} silent_ms={} target_ms={} wait_ms={}"
            + " passed_over_now={}",
        upstream,
        finding,
        call.head().requestId(),
        silentMillis,
        call.route().targetMillis(),
        Math.round(call.expectedFirstTokenMillis()),
        skippedNow);
  }

  /** Logs what an upstream says of itself that cannot be read. */
  static void malformedNotice(RelayedCall call, Upstream upstream, List<String> values) {
    String shown = String.join("; ", values);
    LOG.warn(
        "malformed_notice upstream={} request={} values=\"{}\" expected=\"a limit in requests a"
            + " second such as 5.8, 1 if it leaves, a pause in seconds such as 2.5, a load such as"
            + " 3,0,8\"",
        upstream.id(),
        call.head().requestId(),
        shown.substring(0, Math.min(shown.length(), MAX_LOGGED_VALUE)));
  }

  /** Logs what is done about a silent upstream. */
  static void stalled(RelayedCall call, CallAttempt silent, long silentMillis, String takeover) {
    LOG.info(
        "stalled request={} upstream={} attempts={} silent_ms={} last_event={} remaining_ms={}"
            + " takeover={}",
        call.head().requestId(),
        silent.upstream().id(),
        call.attempts(),
        silentMillis,
        call.lastEventId(),
        call.remainingMillis(),
        takeover);
  }

  /** Logs that a response was ended since its caller did not take it. */
  static void unreadEnded(
      CallRequest request, String cause, long unread, long unfinished, long pausedMillis) {
    LOG.info(
        "unread_ended request={} route={} account={} cause={} unread_bytes={} unfinished_bytes={}"
            + " paused_ms={}",
        request.head().requestId(),
        request.route().name(),
        request.account(),
        cause,
        unread,
        unfinished,
        pausedMillis);
  }

  static void requestEnded(RelayedCall call, int status, String outcome, String detail) {
    LOG.info(
        "ended request={} route={} account={} configuration={} in_force={} status={} outcome={}"
            + " upstream={} upstream_version={} reason={} heard_ms_ago={} load={} load_ms_ago={}"
            + " work_multiple={} attempts={} framing={}"
            + " first_ms={} total_ms={} prompt={} wait_ms={} detail=\"{}\"",
        call.head().requestId(),
        call.route() == null ? "" : call.route().name(),
        call.request().account(),
        call.request().view().document().version(),
        call.versionInForce(),
        status,
        outcome,
        call.lastDispatch().upstream(),
        call.lastDispatch().softwareVersion(),
        call.lastDispatch().reason(),
        call.lastDispatch().reportAgeMillis(),
        call.lastDispatch().reportedLoad(),
        call.lastDispatch().loadAgeMillis(),
        Math.round(WORK_MULTIPLE_DIGITS * call.lastDispatch().workMultiple())
            / WORK_MULTIPLE_DIGITS,
        call.attempts(),
        call.response().framing(),
        call.times().firstByteMillis(),
        call.times().elapsedMillis(),
        call.head().promptTokens(),
        Math.round(call.expectedFirstTokenMillis()),
        detail);
  }
}
