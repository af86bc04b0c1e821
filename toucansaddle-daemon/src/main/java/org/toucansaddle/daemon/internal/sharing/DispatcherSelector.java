package org.toucansaddle.daemon.internal.sharing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.toucansaddle.coordination.membership.Member;

/**
 * Chooses each pool's dispatcher by rendezvous hashing over the live members.
 *
 * <p>Members that see the same members choose the same dispatcher, and only the pools of a member
 * that died move. A suspected member dispatches nothing, so that its pools move before its leases
 * expire. Stateless and thread-safe.
 */
final class DispatcherSelector {

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private DispatcherSelector() {}

  static Optional<Member> select(String pool, Collection<Member> live) {
    Comparator<Member> byWeight =
        Comparator.comparingLong(m -> HASHER.hashCharsToLong(pool + "|" + m.name()));
    Optional<Member> chosen =
        live.stream().filter(m -> m.state() == Member.State.ALIVE).max(byWeight);
    return chosen.or(() -> live.stream().filter(Member::isLive).max(byWeight));
  }
}
