package org.toucansaddle.coordination.internal.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucansaddle.coordination.membership.Member;

/**
 * Member updates to disseminate, each a number of times that grows logarithmically with the fleet
 * size.
 *
 * <p>Not thread-safe.
 */
final class UpdateQueue {

  /** Transmissions of an update for each bit of the fleet size. */
  private static final int SENDS_PER_FLEET_SIZE_BIT = 3;

  private static final class QueuedUpdate {
    private final Member member;
    private int sendCount;

    QueuedUpdate(Member member) {
      this.member = member;
    }
  }

  private final Map<String, QueuedUpdate> updatesByName = new HashMap<>();

  /** Adds an update, replacing a queued one of the same member. */
  void add(Member member) {
    updatesByName.put(member.name(), new QueuedUpdate(member));
  }

  /**
   * Returns the updates sent least often so far and counts them as sent.
   *
   * @param max maximum number of updates
   * @param fleetSize current fleet size
   */
  List<Member> nextUpdates(int max, int fleetSize) {
    int maxSends =
        SENDS_PER_FLEET_SIZE_BIT * (Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize));
    List<QueuedUpdate> selected =
        updatesByName.values().stream()
            .sorted(Comparator.comparingInt((QueuedUpdate queued) -> queued.sendCount))
            .limit(max)
            .toList();
    selected.forEach(queued -> queued.sendCount++);
    updatesByName.values().removeIf(queued -> queued.sendCount >= maxSends);
    return selected.stream().map(queued -> queued.member).toList();
  }
}
