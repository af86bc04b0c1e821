package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Optional;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.relay.Placement.Choice;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.ShareCheck;

/**
 * Decides which requests are sent now and which are sent away, without I/O.
 *
 * <p>While the engines have capacity nobody waits. Else accounts above their share are sent away,
 * and requests whose target cannot be met. Thread-safe.
 */
final class Admission {

  /** Part of a route's target that a prompt may be expected to wait. */
  private static final double MAX_WAIT_OF_TARGET = 0.9;

  /** Utilisation of the engines below which shares do not matter. */
  private static final double SPARE_UTILISATION = 0.8;

  /** Part of a route's target that may stand before a prompt while shares do not matter. */
  private static final double SPARE_OF_TARGET = 0.3;

  /** Part of the longest wait which counts as nothing before a prompt. */
  private static final double NOTHING_AHEAD = 0.4;

  /** Part of the time left that a caller who came back may be expected to wait. */
  private static final double MAX_WAIT_OF_TIME = 0.4;

  private final AccountShares shares;

  Admission(AccountShares shares) {
    this.shares = shares;
  }

  /**
   * What is known of a request. Immutable.
   *
   * @param account client account; empty if the request has none
   * @param tokensPerSecond capacity of all engines; 0 if not known
   * @param leftMillis time left for the request, in milliseconds
   */
  record Ask(
      Route route, RequestHead head, String account, double tokensPerSecond, long leftMillis) {

    boolean isShared() {
      return !account.isEmpty() && head.promptTokens() > 0;
    }
  }

  /** Counts a request that arrived. */
  void arrived(Ask ask) {
    if (ask.isShared()) {
      shares.recordDemand(ask.account(), ask.head().shareTokens());
    }
  }

  /** Returns why a request is not sent now, or counts it as admitted. */
  Optional<Refusal> admit(Ask ask, Choice choice) {
    if (ask.isShared() && !isSpare(ask, choice)) {
      ShareCheck found =
          shares.checkShare(ask.account(), ask.head().shareTokens(), ask.tokensPerSecond());
      if (found.aboveShare()) {
        return Optional.of(Refusal.aboveShare(found, back(ask)));
      }
    }
    if (!isWorthwhile(ask, choice)) {
      return Optional.of(Refusal.targetCannotBeMet(choice, back(ask)));
    }
    if (ask.isShared()) {
      long work = ask.head().workTokens(choice.toRead());
      shares.recordAdmission(ask.account(), ask.head().shareTokens(), work);
    }
    return Optional.empty();
  }

  private static long back(Ask ask) {
    return ComeBack.afterMillis(ask.route().targetMillis());
  }

  private boolean isSpare(Ask ask, Choice choice) {
    return shares.utilisation(ask.tokensPerSecond()) < SPARE_UTILISATION
        && choice.aheadMillis() < SPARE_OF_TARGET * ask.route().targetMillis();
  }

  /**
   * Returns whether a request should be sent now: it meets its target, or coming back would not
   * help since nothing stands before it or its caller has waited already.
   */
  private static boolean isWorthwhile(Ask ask, Choice choice) {
    double limit = ask.route().targetMillis() * MAX_WAIT_OF_TARGET;
    if (choice.waitMillis() <= limit || choice.aheadMillis() < limit * NOTHING_AHEAD) {
      return true;
    }
    return ask.head().hasWaited(ask.route())
        && choice.waitMillis() < ask.leftMillis() * MAX_WAIT_OF_TIME;
  }
}
