package org.toucansaddle.coordination.placement;

/** What becomes of a request that asked for a slot. */
public sealed interface PlacementDecision {

  /**
   * The request gets a slot. Immutable.
   *
   * @param grant number of the grant, which the router names when the request starts and ends
   * @param upstream id of the upstream
   * @param readTokens prompt tokens that the upstream is expected to read
   * @param queueMillis expected time until the upstream begins with the prompt, in milliseconds
   * @param firstTokenMillis expected time to the first token, in milliseconds
   */
  record Granted(
      long grant, String upstream, int readTokens, double queueMillis, double firstTokenMillis)
      implements PlacementDecision {}

  /**
   * The request is refused. Immutable.
   *
   * @param retryAfterMillis time after which the caller should come back, in milliseconds
   * @param accountTokens tokens lately granted to the account
   * @param shareTokens fair share of the account in the same time
   * @param firstTokenMillis expected time to the first token; 0 if there is no upstream
   */
  record Refused(
      Reason reason,
      long retryAfterMillis,
      double accountTokens,
      double shareTokens,
      double firstTokenMillis)
      implements PlacementDecision {}

  /** Why a request is refused. */
  enum Reason {
    /** The upstreams are busy and the account has had its fair share. */
    ABOVE_SHARE,
    /** No slot becomes free in time. */
    NO_SLOT,
    /** The target cannot be met any more. */
    TOO_LATE
  }
}
