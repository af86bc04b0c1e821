package org.toucansaddle.coordination.sharing;

/**
 * Intervals, time-outs and limits of slot sharing. Immutable.
 *
 * @param mode how slots are shared
 * @param maxPlanIntervalMillis longest time between two plans, in milliseconds
 * @param minPlanIntervalMillis shortest time between two plans, in milliseconds
 * @param leaseMillis validity of a lease, in milliseconds
 * @param renewalIntervalMillis time between renewals of a lease, in milliseconds
 * @param upstreamTimeoutMillis time without an announcement after which an upstream gets no new
 *     requests, in milliseconds
 * @param routerTimeoutMillis time without a demand after which a router counts as unresponsive, in
 *     milliseconds; an idle router must send demands more often
 * @param catchUpSeconds time in which a plan lets an account catch up, in seconds
 * @param maxDeviationTokens largest lag or lead in service that is kept, in tokens
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
   * Returns how long a new dispatcher waits if it does not know all leases, in milliseconds.
   *
   * <p>By then the leases have expired, and a partitioned dispatcher has detected the partition and
   * revoked the slots above its share.
   */
  public int takeoverDelayMillis() {
    return Math.max(leaseMillis, routerTimeoutMillis + REVOCATION_MILLIS);
  }

  /** Returns the defaults, for requests that take a few seconds. */
  public static SharingSettings defaults() {
    return new SharingSettings(
        SharingMode.FLEET, 1_000, 25, 2_800, 1_250, 2_300, 2_400, 3, 100_000);
  }

  /** Returns a copy with another mode. */
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
