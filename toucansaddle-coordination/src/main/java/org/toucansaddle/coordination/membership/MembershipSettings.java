package org.toucansaddle.coordination.membership;

/**
 * Timeouts and limits of the membership protocol. Immutable.
 *
 * @param probePeriodMillis time between two probes sent by a member, in milliseconds
 * @param probeTimeoutMillis time after which an unanswered probe is repeated through relays, in
 *     milliseconds
 * @param suspicionTimeoutMillis time within which a suspected member can refute the suspicion, in
 *     milliseconds
 * @param relaysPerProbe number of members requested to probe one that did not answer
 * @param maxUpdatesPerMessage maximum number of updates per message
 * @param departedRetentionMillis time after which a member that died or left is evicted, in
 *     milliseconds
 */
public record MembershipSettings(
    int probePeriodMillis,
    int probeTimeoutMillis,
    int suspicionTimeoutMillis,
    int relaysPerProbe,
    int maxUpdatesPerMessage,
    long departedRetentionMillis) {

  private static final long DAY_MILLIS = 86_400_000;

  /** Returns settings for members with round-trip times of a few milliseconds. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(800, 350, 1_200, 2, 6, DAY_MILLIS);
  }

  /** Returns these settings with the given retention of departed members, in milliseconds. */
  public MembershipSettings withDepartedRetentionMillis(long millis) {
    return new MembershipSettings(
        probePeriodMillis,
        probeTimeoutMillis,
        suspicionTimeoutMillis,
        relaysPerProbe,
        maxUpdatesPerMessage,
        millis);
  }
}
