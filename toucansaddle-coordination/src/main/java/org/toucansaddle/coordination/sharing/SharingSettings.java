package org.toucansaddle.coordination.sharing;

/**
 * Times of slot sharing; change one with a {@code with} method. Immutable.
 *
 * @param mode how slots are shared
 * @param planMillis longest time between two plans while requests wait, in milliseconds
 * @param replanMillis least time between two plans, in milliseconds
 * @param leaseMillis validity of a lease, in milliseconds
 * @param renewMillis time between renewals of a lease, in milliseconds
 * @param silenceMillis time without an announcement after which an upstream gets no new work, in
 *     milliseconds
 * @param routerSilenceMillis time without a demand after which a router may be cut off, in
 *     milliseconds; a router that serves nothing sends demands more often
 * @param horizonSeconds time in which a plan makes up an account's lag, in seconds
 * @param maxLeadTokens largest lag or lead that is remembered, in tokens
 */
public record SharingSettings(
    SharingMode mode,
    int maxPlanIntervalMillis,
    int minPlanIntervalMillis,
    int leaseMillis,
    int renewalIntervalMillis,
    int upstreamTimeoutMillis,
    int routerTimeoutMillis,
    double catchUpSeconds,
    double maxDeviationTokens) {

  private static final int REVOCATION_MILLIS = 300;

  /**
   * Returns how long a new dispatcher waits if it does not know all leases, in milliseconds: until
   * they expired and a dispatcher that was cut off noticed it.
   */
  public int takeoverDelayMillis() {
    return Math.max(leaseMillis, routerTimeoutMillis + REVOCATION_MILLIS);
  }

  /** Returns settings for requests that take a few seconds. */
  public static SharingSettings defaults() {
    return new SharingSettings(
        SharingMode.FLEET, 1_000, 25, 2_800, 1_250, 2_300, 2_400, 3, 100_000);
  }

  /** Returns these settings with another mode. */
  public SharingSettings withMode(SharingMode newMode) {
    return new SharingSettings(
        newMode,
        maxPlanIntervalMillis,
        minPlanIntervalMillis,
        leaseMillis,
        renewalIntervalMillis,
        upstreamTimeoutMillis,
        routerTimeoutMillis,
        catchUpSeconds,
        maxDeviationTokens);
  }
}
