package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Optional;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.Judgement;

/**
 * Decides which requests are sent now and which are sent away, without I/O.
 *
 * <p>While the engines have capacity nobody waits. Else accounts above their share are sent away,
 * and requests whose target cannot be met. Thread-safe.
 */
final class AdmissionControl {

  /** Part of a route's target that a prompt may be expected to wait. */
  private static final double MAX_WAIT_TARGET_FRACTION = 0.9;

  /** Utilisation of the engines below which shares do not matter. */
  private static final double SPARE_CAPACITY_UTILISATION = 0.8;

  /** Part of a route's target that may stand before a prompt while shares do not matter. */
  private static final double SPARE_CAPACITY_QUEUE_FRACTION = 0.3;

  /** Part of the longest wait which counts as nothing before a prompt. */
  private static final double SHORT_QUEUE_FRACTION = 0.4;

  /** Part of the time left that a caller who came back may be expected to wait. */
  private static final double RETRY_MAX_WAIT_FRACTION = 0.4;

  private final AccountShares shares;

  AdmissionControl(AccountShares shares) {
    this.shares = shares;
  }

  /**
   * What is known of a request. Immutable.
   *
   * @param account client account; empty if the request has none
   * @param tokensPerSecond capacity of all engines; 0 if not known
   * @param leftMillis time left for the request, in milliseconds
   */
  record AdmissionRequest(
      Route route, RequestHead head, String account, double tokensPerSecond, long remainingMillis) {

    boolean countsTowardsShare() {
      return !account.isEmpty() && head.promptTokens() > 0;
    }
  }

  /** Counts a request that arrived. */
  void recordArrival(AdmissionRequest ask) {
    if (ask.countsTowardsShare()) {
      shares.asked(ask.account(), ask.head().totalWorkTokens());
    }
  }

  /** Returns why a request is not sent now, or counts it as admitted. */
  Optional<ErrorResponse> admit(AdmissionRequest ask, Selection choice) {
    if (ask.countsTowardsShare() && !hasSpareCapacity(ask, choice)) {
      Judgement found =
          shares.judge(ask.account(), ask.head().totalWorkTokens(), ask.tokensPerSecond());
      if (found.above()) {
        return Optional.of(ErrorResponse.aboveShare(found, retryAfterMillis(ask)));
      }
    }
    if (!isWorthSending(ask, choice)) {
      return Optional.of(ErrorResponse.targetCannotBeMet(choice, retryAfterMillis(ask)));
    }
    if (ask.countsTowardsShare()) {
      long work = ask.head().workTokens(choice.prefillTokens());
      shares.admitted(ask.account(), ask.head().totalWorkTokens(), work);
    }
    return Optional.empty();
  }

  private static long retryAfterMillis(AdmissionRequest ask) {
    return RetryAfter.randomDelayMillis(ask.route().targetMillis());
  }

  private boolean hasSpareCapacity(AdmissionRequest ask, Selection choice) {
    return shares.utilisation(ask.tokensPerSecond()) < SPARE_CAPACITY_UTILISATION
        && choice.expectedQueueMillis()
            < SPARE_CAPACITY_QUEUE_FRACTION * ask.route().targetMillis();
  }

  /**
   * Returns whether a request should be sent now: it meets its target, or coming back would not
   * help since nothing stands before it or its caller has waited already.
   */
  private static boolean isWorthSending(AdmissionRequest ask, Selection choice) {
    double limit = ask.route().targetMillis() * MAX_WAIT_TARGET_FRACTION;
    if (choice.expectedFirstTokenMillis() <= limit
        || choice.expectedQueueMillis() < limit * SHORT_QUEUE_FRACTION) {
      return true;
    }
    return ask.head().isLikelyRetry(ask.route())
        && choice.expectedFirstTokenMillis() < ask.remainingMillis() * RETRY_MAX_WAIT_FRACTION;
  }
}
