package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.zones.AllowedRegions;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.AccountState;
import org.toucansaddle.daemon.internal.problem.RunState;
import org.toucansaddle.protocol.generated.PlacementAnswer;

/**
 * An error response created by the router itself. Immutable.
 *
 * <p>Invariant: a status that promises that the request has not run and never will, as in {@link
 * #isPromise}, goes only with {@link RunState#NOT_RUN}.
 *
 * @param status HTTP status; 429 concerns the caller's account, 503 the service
 * @param type short name of the problem
 * @param runState whether the request may have run
 * @param detail what happened and how to proceed, for people
 * @param retryAfterMillis delay before a retry, in milliseconds; 0 if a retry does not help
 */
public record ErrorResponse(
    int status, String type, RunState runState, String detail, long retryAfterMillis) {

  /** Statuses by which a caller knows that the request has not run and never will. */
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  /** Creates a response. */
  public ErrorResponse {
    if (isPromise(status) && runState != RunState.NOT_RUN) {
      throw new IllegalArgumentException(
          "Status %d of '%s' promises that the request has not run. Use 502 or 504."
              .formatted(status, type));
    }
  }

  /** Returns whether a status promises that the request has not run and never will. */
  static boolean isPromise(int status) {
    return PROMISES.contains(status);
  }

  /** Returns this response, or one that promises nothing if the request may have run. */
  ErrorResponse given(RunState run) {
    return run == RunState.NOT_RUN || runState != RunState.NOT_RUN
        ? this
        : upstreamLost("The response was lost and no other upstream took over.");
  }

  static ErrorResponse noRoute(String host) {
    return new ErrorResponse(
        404, "no-route", RunState.NOT_RUN, "No route of host '" + host + "' matches this path.", 0);
  }

  static ErrorResponse unknownKey() {
    return new ErrorResponse(
        401, "unknown-key", RunState.NOT_RUN, "No client account has this key.", 0);
  }

  static ErrorResponse noConfiguration() {
    return notRun("no-configuration", "This router has no confirmed configuration yet.", 500);
  }

  /** Refuses a request that this router cannot read in time. */
  static ErrorResponse routerBehind(long retryAfterMillis) {
    return notRun(
        "router-behind",
        "This router has more requests than it can read in time.",
        retryAfterMillis);
  }

  /** Refuses a request that may not be served where the upstreams are that would accept it. */
  static ErrorResponse notInRegion(String service, AllowedRegions regions) {
    return notRun(
        "no-upstream-in-region",
        ("No upstream of service '%s' is ready in the regions %s,"
                + " to which route and account restrict the request.")
            .formatted(service, new TreeSet<>(regions.names().orElse(Set.of()))),
        500);
  }

  static ErrorResponse bodyTooLong(int maxBytes) {
    String detail = "The body is longer than " + maxBytes + " bytes. Send a shorter body.";
    return new ErrorResponse(413, "body-too-long", RunState.NOT_RUN, detail, 0);
  }

  static ErrorResponse headTooLong(int maxBytes) {
    String detail = "The header fields are longer than " + maxBytes + " bytes.";
    return new ErrorResponse(431, "head-too-long", RunState.NOT_RUN, detail, 0);
  }

  static ErrorResponse unreadableBody() {
    String detail = "The body did not arrive completely. Send the request again.";
    return new ErrorResponse(400, "body-unreadable", RunState.NOT_RUN, detail, 0);
  }

  static ErrorResponse aboveShare(AccountState account, long retryAfterMillis) {
    String detail =
        "The account asked for %.0f tokens and got %.0f of a share of %.0f; others told %d ms ago."
            .formatted(
                account.demandedTokens(),
                account.admittedTokens(),
                account.fairShareTokens(),
                account.remoteUsageAgeMillis());
    return new ErrorResponse(429, "above-share", RunState.NOT_RUN, detail, retryAfterMillis);
  }

  /** Returns the response to a request that the placing control daemon refused. */
  static ErrorResponse refusedByPlacement(PlacementAnswer answer) {
    long retryAfterMillis = answer.getRetryAfterMillis();
    return switch (answer.getRefusal()) {
      case ABOVE_SHARE ->
          new ErrorResponse(
              429,
              "above-share",
              RunState.NOT_RUN,
              "The account used %.0f tokens of a share of %.0f, at all routers."
                  .formatted(answer.getAccountTokens(), answer.getShareTokens()),
              retryAfterMillis);
      case TOO_LATE ->
          notRun(
              "target-cannot-be-met",
              "The first token is expected in %.0f ms.".formatted(answer.getFirstTokenMillis()),
              retryAfterMillis);
      default -> notRun("upstreams-busy", "No slot becomes free in time.", retryAfterMillis);
    };
  }

  static ErrorResponse targetCannotBeMet(Selection selection, long retryAfterMillis) {
    String detail =
        "The first token is expected in %.0f ms, after %.0f ms for requests in the queue."
            .formatted(selection.expectedFirstTokenMillis(), selection.expectedQueueMillis());
    return notRun("target-cannot-be-met", detail, retryAfterMillis);
  }

  static ErrorResponse quarantined(long remainingMillis) {
    String detail =
        "Upstreams crashed while they ran this request or others with a part of its prompt."
            + " It is refused for "
            + TimeUnit.MILLISECONDS.toSeconds(remainingMillis)
            + " s.";
    return notRun("quarantined", detail, remainingMillis);
  }

  static ErrorResponse originUnanswered(long retryAfterMillis) {
    String detail =
        "No control daemon told this router in time which version of the service began the stream.";
    return notRun("origin-unanswered", detail, retryAfterMillis);
  }

  static ErrorResponse originUnknown() {
    String detail =
        "No daemon knows which version of the service began the stream, and several may serve it."
            + " Send the request again without the id of its last event.";
    return notRun("origin-unknown", detail, 0);
  }

  static ErrorResponse originGone(StreamOrigin origin) {
    String detail =
        "The stream began at version \"%s\" of service %s, of which no upstream accepts requests."
            .formatted(origin.softwareVersion(), origin.service());
    return notRun("origin-gone", detail, 0);
  }

  static ErrorResponse noUpstream() {
    return notRun("no-upstream", "No upstream of the service is ready.", 500);
  }

  static ErrorResponse upstreamsBusy(Route route) {
    long retryAfterMillis = RetryAfter.randomDelayMillis(route.targetMillis());
    return notRun("upstreams-busy", "All upstreams are busy.", retryAfterMillis);
  }

  static ErrorResponse upstreamsTakeNoMore(long retryAfterMillis) {
    String detail = "The upstreams get as many requests as they say that they take, or pause.";
    return notRun("upstreams-limited", detail, retryAfterMillis);
  }

  static ErrorResponse notRun(String type, String detail, long retryAfterMillis) {
    return new ErrorResponse(503, type, RunState.NOT_RUN, detail, retryAfterMillis);
  }

  static ErrorResponse upstreamLost(String detail) {
    return new ErrorResponse(502, "upstream-lost", RunState.UNKNOWN, detail, 0);
  }

  static ErrorResponse timedOut(RunState run) {
    String detail = "The deadline of the request has passed. Allow more time or retry later.";
    return new ErrorResponse(504, "too-late", run, detail, 0);
  }

  static ErrorResponse upstreamSilent(RunState run) {
    String detail =
        "No upstream started a response within the time that callers of the route wait.";
    return new ErrorResponse(504, "upstream-silent", run, detail, 0);
  }
}
