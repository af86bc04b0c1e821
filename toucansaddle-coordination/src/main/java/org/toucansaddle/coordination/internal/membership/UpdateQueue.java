package org.toucansaddle.coordination.internal.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.coordination.membership.Member;

/**
 * News to pass on, each a number of times that grows with the logarithm of the fleet.
 *
 * <p>Not thread-safe.
 */
final class UpdateQueue {

  private static final int SENDS_PER_FLEET_SIZE_BIT = 3;

  private static final class Item {
    private final Member member;
    private int sent;

    Item(Member member) {
      this.member = member;
    }
  }

  private final Map<String, Item> updatesByName = new HashMap<>();

  /** Adds news, replacing older news of the same member. */
  void add(Member member) {
    updatesByName.put(member.name(), new Item(member));
  }

  /** Returns the news sent least often so far. */
  List<Member> nextUpdates(int max, int members) {
    int repeats = SENDS_PER_FLEET_SIZE_BIT * (Integer.SIZE - Integer.numberOfLeadingZeros(members));
    List<Item> chosen =
        updatesByName.values().stream()
            .sorted(Comparator.comparingInt((Item item) -> item.sent))
            .limit(max)
            .toList();
    chosen.forEach(item -> item.sent++);
    updatesByName.values().removeIf(item -> item.sent >= repeats);
    return chosen.stream().map(item -> item.member).toList();
  }
}
