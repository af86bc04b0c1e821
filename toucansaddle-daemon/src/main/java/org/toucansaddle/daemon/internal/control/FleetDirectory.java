package org.toucansaddle.daemon.internal.control;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.toucansaddle.coordination.membership.Member;

/**
 * Most recent list of the fleet's members.
 *
 * <p>Readers get an immutable snapshot. Thread-safe.
 */
public final class FleetDirectory {

  private final AtomicReference<List<Member>> members = new AtomicReference<>(List.of());

  /** Replaces the members. */
  public void setMembers(Collection<Member> newMembers) {
    members.set(List.copyOf(newMembers));
  }

  /** Returns all members, including dead ones and this daemon. */
  public List<Member> members() {
    return members.get();
  }

  /** Returns the members whose state counts as live, including this daemon. */
  public List<Member> liveMembers() {
    return members.get().stream().filter(Member::isLive).toList();
  }

  /** Returns a member by name. */
  public Optional<Member> findMember(String name) {
    return members.get().stream().filter(member -> member.name().equals(name)).findFirst();
  }

  /** Returns the address of a member by name. */
  public Optional<String> findAddress(String name) {
    return findMember(name).map(Member::address);
  }
}
