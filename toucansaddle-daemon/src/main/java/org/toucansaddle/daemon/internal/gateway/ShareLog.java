package org.toucansaddle.daemon.internal.gateway;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.gateway.relay.AccountTally;
import org.toucansaddle.daemon.internal.gateway.relay.AccountTally.Entry;
import org.toucansaddle.daemon.internal.gateway.relay.AccountTally.Fate;
import org.toucansaddle.daemon.internal.gateway.relay.RelayMetrics;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.AccountState;
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
        () -> shownTokens(accountState("")));
  }

  private double ratedTokensPerSecond() {
    return state.view().map(view -> view.tokensPerSecond()).orElse(0L);
  }

  private AccountState accountState(String account) {
    return state.shares().state(account, ratedTokensPerSecond());
  }

  private static long shownTokens(AccountState account) {
    double share = account.fairShareTokens();
    return share == Double.MAX_VALUE ? -1 : Math.round(share);
  }

  /** Logs the accounts that were refused something since the last call. */
  void log() {
    for (Entry entry : tally.drain(MAX_LOGGED_ACCOUNTS)) {
      AccountState account = accountState(entry.account());
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
          Math.round(account.admittedTokens()),
          Math.round(account.demandedTokens()),
          shownTokens(account),
          Math.round(state.shares().utilisation(ratedTokensPerSecond()) * 100) / 100.0,
          Math.round(ratedTokensPerSecond()),
          account.remoteUsageAgeMillis());
    }
  }
}
