package org.toucansaddle.daemon.internal.gateway;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.gateway.relay.AccountTally;
import org.toucansaddle.daemon.internal.gateway.relay.AccountTally.Entry;
import org.toucansaddle.daemon.internal.gateway.relay.AccountTally.Fate;
import org.toucansaddle.daemon.internal.gateway.relay.RelayMetrics;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.ShareCheck;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;

/**
 * Logs and exports what accounts asked for and got at this router, and the share that it believes.
 *
 * <p>Tells which resource bound: an account is refused for its share, for want of room at the
 * upstreams, or for time. Thread-safe.
 */
final class ShareLog {

  private static final Logger LOG = LoggerFactory.getLogger("decision.shares");

  /** Accounts logged at a time, those first that most was refused to. */
  private static final int MAX_LOGGED_ACCOUNTS = 4;

  private final RouterState state;
  private final AccountTally tally;

  ShareLog(RouterState state, AccountTally tally) {
    this.state = state;
    this.tally = tally;
  }

  /** Adds the gauges of shares. */
  void register(RelayMetrics metrics) {
    metrics.registerGauge(
        "toucansaddle_gateway_engine_utilisation",
        "Recently admitted work of the fleet as a fraction of the rated throughput of the engines.",
        () -> state.shares().utilisation(ratedTokensPerSecond()));
    metrics.registerGauge(
        "toucansaddle_gateway_share_tokens",
        "Fair share of an account, in tokens; -1 while all demands fit.",
        () -> shownTokens(check("")));
  }

  private double ratedTokensPerSecond() {
    return state.view().map(view -> view.tokensPerSecond()).orElse(0L);
  }

  private ShareCheck check(String account) {
    return state.shares().checkShare(account, 0, ratedTokensPerSecond());
  }

  private static long shownTokens(ShareCheck check) {
    return check.fairShareTokens() == Double.MAX_VALUE ? -1 : Math.round(check.fairShareTokens());
  }

  /** Logs the accounts that were refused something since the last call. */
  void log() {
    AccountShares shares = state.shares();
    for (Entry entry : tally.drain(MAX_LOGGED_ACCOUNTS)) {
      ShareCheck check = check(entry.account());
      LOG.info(
          "tokens account={} asked={} begun={} above_share={} no_room={} too_late={} abandoned={}"
              + " lost={} fleet_admitted={} fleet_asked={} share={} utilisation={} rated={}"
              + " sums_age_ms={}",
          entry.account(),
          entry.get(Fate.ASKED),
          entry.get(Fate.BEGUN),
          entry.get(Fate.ABOVE_SHARE),
          entry.get(Fate.NO_ROOM),
          entry.get(Fate.TOO_LATE),
          entry.get(Fate.ABANDONED),
          entry.get(Fate.LOST),
          Math.round(check.admittedTokens()),
          Math.round(shares.demandedTokens(entry.account())),
          shownTokens(check),
          Math.round(shares.utilisation(ratedTokensPerSecond()) * 100) / 100.0,
          Math.round(ratedTokensPerSecond()),
          check.remoteUsageAgeMillis());
    }
  }
}
