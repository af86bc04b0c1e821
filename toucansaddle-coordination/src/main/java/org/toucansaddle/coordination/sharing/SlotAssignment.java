package org.toucansaddle.coordination.sharing;

/**
 * A request and the upstream whose slot it is assigned. Immutable.
 *
 * @param request the request to start
 * @param upstream upstream that runs it
 * @param reason why its account was selected, for the decision log
 * @param skippedAccounts number of accounts with waiting requests that were not selected
 * @param <R> type of request
 */
public record SlotAssignment<R extends SlotRequest>(
    R request, UpstreamSlots upstream, Reason reason, int skippedAccounts) {

  /** Reason for which an account was selected. */
  public enum Reason {
    /** The account was furthest below its quota, relative to the quota. */
    BELOW_QUOTA,
    /** No waiting account was below its quota; the account had received the least service. */
    LEAST_SERVICE
  }
}
