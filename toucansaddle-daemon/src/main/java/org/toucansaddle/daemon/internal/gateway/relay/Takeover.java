package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Optional;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;

/**
 * Second attempt of a call whose upstream is silent, called the standby.
 *
 * <p>The silent attempt stays the current one until the standby responds: there may be no upstream
 * that takes over, it may refuse, and the silent one may go on. Whichever does so first continues,
 * and the other one is cancelled. An upstream responds as soon as it works on a request, so that
 * two of them do not work on one stream for long. Confined to the call's I/O thread.
 */
final class Takeover {

  private static final ErrorResponse FALLBACK =
      ErrorResponse.upstreamLost("The upstream stopped responding and no other one took over.");

  private final RelayContext context;
  private final RelayedCall call;
  private final UpstreamChoice choice;
  private CallAttempt standby;
  private String loggedObstacle = "";

  Takeover(RelayContext context, RelayedCall call, UpstreamChoice choice) {
    this.context = context;
    this.call = call;
    this.choice = choice;
  }

  boolean isPending() {
    return standby != null;
  }

  boolean isStandby(CallAttempt attempt) {
    return standby != null && standby == attempt;
  }

  /** Sends the request to another upstream, if there is one and the budget allows it. */
  void begin(CallAttempt silent, long silentMillis) {
    if (isPending()) {
      return;
    }
    Optional<Selection> selected = call.selectOther();
    if (selected.isEmpty()) {
      logObstacle(silent, silentMillis, "no-upstream");
    } else if (!context.retryBudget(call.service()).tryAcquireRetry()) {
      logObstacle(silent, silentMillis, "no-retry-budget");
    } else {
      standby = call.createAttempt(selected.get());
      RelayLog.stalled(call, silent, silentMillis, "sent-to-" + standby.upstream().id());
      standby.launch(FALLBACK);
    }
  }

  /** Logs why there is no takeover; a silent attempt is checked several times a second. */
  private void logObstacle(CallAttempt silent, long silentMillis, String obstacle) {
    if (!obstacle.equals(loggedObstacle)) {
      loggedObstacle = obstacle;
      RelayLog.stalled(call, silent, silentMillis, obstacle);
    }
  }

  /** Returns the standby, which becomes the current attempt. */
  CallAttempt take() {
    CallAttempt taken = standby;
    standby = null;
    return taken;
  }

  /** Forgets an attempt that has ended; returns whether it was the standby. */
  boolean remove(CallAttempt attempt) {
    boolean found = isStandby(attempt);
    if (found) {
      standby = null;
    }
    return found;
  }

  /** Cancels the standby because the silent upstream goes on. */
  void dismiss() {
    if (isPending()) {
      context.metrics().recordAttempt("dismissed");
      choice.allowAgain(standby.upstream());
      RelayLog.attemptFailed(call, standby.dispatch(), "dismissed", "the silent upstream goes on");
      cancel();
    }
  }

  /** Cancels the standby, if any. */
  void cancel() {
    if (isPending()) {
      take().cancel();
    }
  }
}
