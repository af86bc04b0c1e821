package org.toucansaddle.coordination.internal.sharing;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.TreeSet;
import org.toucansaddle.coordination.sharing.SlotRequest;

/**
 * Waiting requests of one account, earliest deadline first. Not thread-safe.
 *
 * @param <R> type of request
 */
final class AccountQueue<R extends SlotRequest> {

  private record Item<R extends SlotRequest>(long deadline, long order, R request) {}

  private final TreeSet<Item<R>> items =
      new TreeSet<>(
          Comparator.comparingLong((Item<R> item) -> item.deadline())
              .thenComparingLong(Item::order));
  private final Map<R, Item<R>> byRequest = new IdentityHashMap<>();
  private long nextOrder;

  void add(R request) {
    Item<R> item = new Item<>(request.deadlineMillis(), nextOrder++, request);
    items.add(item);
    byRequest.put(request, item);
  }

  boolean remove(R request) {
    Item<R> item = byRequest.remove(request);
    return item != null && items.remove(item);
  }

  int size() {
    return items.size();
  }

  /** Returns the requests by deadline; equal deadlines keep the order of arrival. */
  Iterable<R> inDeadlineOrder() {
    return () -> items.stream().map(Item::request).iterator();
  }
}
