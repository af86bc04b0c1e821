package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Optional;
import java.util.function.Supplier;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.Charge;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.ShareCheck;

/**
 * Decides which requests are admitted and which are refused, without I/O.
 *
 * <p>While the engines have spare capacity, the shares of accounts do not matter. Otherwise
 * requests of accounts above their share are refused, before one that no upstream has room for is
 * refused whatever its account. Requests that cannot meet their target are refused in either case.
 * Thread-safe.
 */
final class AdmissionControl {

  /** Fraction of a route's target within which the first token must be expected. */
  static final double MAX_WAIT_TARGET_FRACTION = 0.9;

  /** Utilisation of the engines below which shares are not enforced. */
  private static final double SPARE_CAPACITY_UTILISATION = 0.8;

  /** Fraction of a route's target below which the queue counts as spare capacity. */
  private static final double SPARE_CAPACITY_QUEUE_FRACTION = 0.3;

  /** Fraction of the maximum wait below which a queue is short, so that a retry gains nothing. */
  private static final double SHORT_QUEUE_FRACTION = 0.4;

  /** Fraction of the remaining time within which the first token of a retry must be expected. */
  private static final double RETRY_MAX_WAIT_FRACTION = 0.4;

  private final AccountShares shares;

  AdmissionControl(AccountShares shares) {
    this.shares = shares;
  }

  /**
   * A request to admit. Immutable.
   *
   * @param account client account; empty if the request has none
   * @param tokensPerSecond capacity of all engines; 0 if unknown
   * @param remainingMillis time until the deadline, in milliseconds
   */
  record AdmissionRequest(
      Route route, RequestHead head, String account, double tokensPerSecond, long remainingMillis) {

    boolean countsTowardsShare() {
      return !account.isEmpty() && head.promptTokens() > 0;
    }
  }

  /** Adds a request to the demand of its account. */
  void recordArrival(AdmissionRequest request) {
    if (request.countsTowardsShare()) {
      shares.recordDemand(request.account(), request.head().totalWorkTokens());
    }
  }

  /**
   * Outcome of an admission: a refusal, or what an account was charged, if any. Immutable.
   *
   * @param refusal response that refuses the request; empty if it is admitted
   * @param charge charge to the account's share, which is withdrawn if no upstream begins
   */
  record Admission(Optional<ErrorResponse> refusal, Optional<Charge> charge) {

    private static Admission refused(ErrorResponse refusal) {
      return new Admission(Optional.of(refusal), Optional.empty());
    }
  }

  /**
   * Admits a request, or refuses it.
   *
   * @param selection upstream that has room for it; empty if none has
   * @param refusalForRoom creates the refusal of a request that no upstream has room for
   */
  Admission admit(
      AdmissionRequest request,
      Optional<Selection> selection,
      Supplier<ErrorResponse> refusalForRoom) {
    if (request.countsTowardsShare() && !hasSpareCapacity(request, selection)) {
      ShareCheck judgement =
          shares.checkShare(
              request.account(), request.head().totalWorkTokens(), request.tokensPerSecond());
      if (judgement.aboveShare()) {
        return Admission.refused(
            ErrorResponse.aboveShare(judgement.state(), retryAfterMillis(request)));
      }
    }
    if (selection.isEmpty()) {
      recordTurnedAway(request);
      return Admission.refused(refusalForRoom.get());
    }
    if (!isWorthSending(request, selection.get())) {
      recordTurnedAway(request);
      return Admission.refused(
          ErrorResponse.targetCannotBeMet(selection.get(), retryAfterMillis(request)));
    }
    return new Admission(Optional.empty(), recordAdmission(request, selection.get()));
  }

  /** Records a request as admitted. */
  Optional<Charge> recordAdmission(AdmissionRequest request, Selection selection) {
    if (!request.countsTowardsShare()) {
      return Optional.empty();
    }
    long work = request.head().workTokens(selection.prefillTokens());
    return Optional.of(
        shares.recordAdmission(request.account(), request.head().totalWorkTokens(), work));
  }

  /** Records a request that is refused because the upstreams have no room for it. */
  void recordTurnedAway(AdmissionRequest request) {
    if (request.countsTowardsShare()) {
      shares.recordTurnedAway(request.account(), request.head().totalWorkTokens());
    }
  }

  /** Takes back the charge for a request that no upstream has begun. */
  void withdraw(Charge charge) {
    shares.withdraw(charge);
  }

  private static long retryAfterMillis(AdmissionRequest request) {
    return RetryAfter.randomDelayMillis(request.route().targetMillis());
  }

  private boolean hasSpareCapacity(AdmissionRequest request, Optional<Selection> selection) {
    double maxQueueMillis = SPARE_CAPACITY_QUEUE_FRACTION * request.route().targetMillis();
    return selection.isPresent()
        && selection.get().expectedQueueMillis() < maxQueueMillis
        && shares.utilisation(request.tokensPerSecond()) < SPARE_CAPACITY_UTILISATION
        && !shares.isPoolFull(request.tokensPerSecond());
  }

  /**
   * Returns whether a request should be sent now: it is expected to meet its target, or a retry
   * would not help, because the queue is short or the caller has retried already.
   */
  private static boolean isWorthSending(AdmissionRequest request, Selection selection) {
    double limit = request.route().targetMillis() * MAX_WAIT_TARGET_FRACTION;
    if (selection.expectedFirstTokenMillis() <= limit
        || selection.expectedQueueMillis() < limit * SHORT_QUEUE_FRACTION) {
      return true;
    }
    return request.head().isLikelyRetry(request.route())
        && selection.expectedFirstTokenMillis()
            < request.remainingMillis() * RETRY_MAX_WAIT_FRACTION;
  }
}
