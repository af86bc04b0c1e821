package org.toucansaddle.coordination.sharing;

/**
 * A request and the upstream whose slot it got. Immutable.
 *
 * @param request the request to start
 * @param upstream where to run it
 * @param reason why this request and this upstream, for the decision log
 * @param passedOver accounts that waited and were not chosen
 * @param <R> type of request
 */
public record SlotAssignment<R extends SlotRequest>(
    R request, UpstreamSlots upstream, Reason reason, int skippedAccounts) {

  /** Why a request was chosen. */
  public enum Reason {
    /** Its account was furthest below its quota. */
    BELOW_QUOTA,
    /** No waiting account was below its quota; its account had received the least service. */
    LEAST_SERVICE
  }
}
