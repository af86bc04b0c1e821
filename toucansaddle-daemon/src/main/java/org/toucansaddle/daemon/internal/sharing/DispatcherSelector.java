package org.toucansaddle.daemon.internal.sharing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.toucansaddle.coordination.membership.Member;

/**
 * Selects the dispatcher of each pool by rendezvous hashing over the live members.
 *
 * <p>Daemons with the same view of the membership select the same dispatcher. When a member dies,
 * only its own pools move. A suspected member is not selected as long as another one is alive, so
 * that its pools move before its leases expire. Stateless and thread-safe.
 */
final class DispatcherSelector {

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private DispatcherSelector() {}

  /** Returns the dispatcher of a pool; nothing if no member is live. */
  static Optional<Member> select(String pool, Collection<Member> live) {
    Comparator<Member> byHash =
        Comparator.comparingLong(m -> HASHER.hashCharsToLong(pool + "|" + m.name()));
    Optional<Member> selected =
        live.stream().filter(m -> m.state() == Member.State.ALIVE).max(byHash);
    return selected.or(() -> live.stream().filter(Member::isLive).max(byHash));
  }
}
