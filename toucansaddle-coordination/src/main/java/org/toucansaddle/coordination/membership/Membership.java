package org.toucansaddle.coordination.membership;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.toucansaddle.coordination.internal.membership.SwimMembership;

/**
 * Fleet membership from the point of view of one member.
 *
 * <pre>{@code
 * Membership membership =
 *     Membership.create(settings, self, seeds, transport, random, members -> ...);
 * membership.tick(nowMillis);            // every few tens of milliseconds
 * membership.receive(address, message, nowMillis);
 * }</pre>
 *
 * <p>Not thread-safe. All times are milliseconds of the same monotonic clock.
 */
public interface Membership {

  /**
   * Creates the membership of {@code self}, initially without other members.
   *
   * @param seeds addresses of members through which to join the fleet
   * @param onChange called with all members after each change
   */
  static Membership create(
      MembershipSettings settings,
      Member self,
      List<String> seeds,
      MembershipTransport transport,
      SplittableRandom random,
      Consumer<Collection<Member>> onChange) {
    return new SwimMembership(settings, self, seeds, transport, random, onChange);
  }

  /** Sends probes and handles the timeouts of probes and suspicions. */
  void tick(long nowMillis);

  /** Handles a message from the member at an address. */
  void receive(String fromAddress, ProbeMessage message, long nowMillis);

  /** Notifies the other members that this one is leaving. */
  void leave();

  /** Returns all known members, including dead ones and this one. */
  Collection<Member> members();

  /** Returns this member. */
  Member self();
}
