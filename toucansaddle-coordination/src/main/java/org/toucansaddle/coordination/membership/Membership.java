package org.toucansaddle.coordination.membership;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.toucansaddle.coordination.internal.membership.SwimMembership;

/**
 * The members of a fleet as one member sees them.
 *
 * <pre>{@code
 * Membership membership =
 *     Membership.create(settings, self, seeds, transport, random, view -> ...);
 * membership.tick(now);                  // every few tens of milliseconds
 * membership.receive(address, message, now);
 * }</pre>
 *
 * <p>Not thread-safe; times are in milliseconds of one monotonic clock.
 */
public interface Membership {

  /**
   * Creates a member.
   *
   * @param seeds addresses of some members, to join by
   * @param onChange called with all members whenever one changes
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

  /** Probes, and judges probes that got no answer. */
  void tick(long now);

  /** Handles a message sent from an address. */
  void receive(String fromAddress, ProbeMessage message, long now);

  /** Tells other members that this one leaves. */
  void leave();

  /** Returns all members known, also dead ones and this one. */
  Collection<Member> members();

  /** Returns this member. */
  Member self();
}
