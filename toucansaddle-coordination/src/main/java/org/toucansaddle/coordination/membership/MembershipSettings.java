package org.toucansaddle.coordination.membership;

/**
 * Times of the membership protocol. Immutable.
 *
 * @param periodMillis time between two probes of a member, in milliseconds
 * @param probeTimeoutMillis time after which an unanswered probe is tried through others, in
 *     milliseconds
 * @param suspicionMillis time a suspected member has to refute, in milliseconds
 * @param relays members asked to probe one that did not answer
 * @param updatesPerMessage most updates carried by a message
 * @param forgetMillis time after which a member that died or left is forgotten, in milliseconds
 */
public record MembershipSettings(
    int periodMillis,
    int probeTimeoutMillis,
    int suspicionMillis,
    int relays,
    int updatesPerMessage,
    long forgetMillis) {

  private static final long DAY_MILLIS = 86_400_000;

  /** Returns settings for members a few milliseconds apart. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(800, 350, 1_200, 2, 6, DAY_MILLIS);
  }

  /** Returns these settings with another time after which members are forgotten. */
  public MembershipSettings withDepartedRetentionMillis(long millis) {
    return new MembershipSettings(
        periodMillis, probeTimeoutMillis, suspicionMillis, relays, updatesPerMessage, millis);
  }
}
