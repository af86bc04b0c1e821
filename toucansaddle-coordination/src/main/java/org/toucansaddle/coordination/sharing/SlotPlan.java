package org.toucansaddle.coordination.sharing;

import java.util.Map;
import java.util.TreeMap;

/**
 * Quotas of requests in flight by router and account. Immutable.
 *
 * @param quotas quota by router, then by account number
 */
public record SlotPlan(Map<String, Map<Integer, Integer>> quotas) {

  /** Returns a plan without quotas. */
  public static SlotPlan empty() {
    return new SlotPlan(new TreeMap<>());
  }

  /** Returns an account's quota at a router; 0 if it has none. */
  public int quota(String router, int account) {
    return quotas.getOrDefault(router, Map.of()).getOrDefault(account, 0);
  }

  /** Returns the sum of a router's quotas. */
  public int routerTotal(String router) {
    return quotas.getOrDefault(router, Map.of()).values().stream().mapToInt(q -> q).sum();
  }

  /** Returns the sum of an account's quotas. */
  public int accountTotal(int account) {
    return quotas.values().stream().mapToInt(map -> map.getOrDefault(account, 0)).sum();
  }
}
