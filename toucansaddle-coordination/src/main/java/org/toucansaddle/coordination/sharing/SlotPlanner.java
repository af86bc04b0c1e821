package org.toucansaddle.coordination.sharing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;

/**
 * Divides a pool's slots among accounts by demand, and each account's share among routers.
 *
 * <pre>{@code
 * SlotPlan plan = SlotPlanner.plan(208, demands, account -> weights.get(account));
 * }</pre>
 *
 * <p>Shares are weighted max-min fair: no account gets more than its demand, slots that one does
 * not use go to the others, and every account with demand gets one slot before any gets a second,
 * while slots last. Stateless and thread-safe.
 */
public final class SlotPlanner {

  private SlotPlanner() {}

  /**
   * Plans the quotas.
   *
   * @param slots slots of the pool
   * @param demands demand by router, then by account number
   * @param weight weight by account number; positive
   */
  public static SlotPlan plan(
      int slots, Map<String, Map<Integer, AccountDemand>> demands, IntToDoubleFunction weight) {
    Map<Integer, Integer> totals = totalByAccount(demands);
    Map<Integer, Integer> shares = divide(slots, totals, weight);
    Map<String, Map<Integer, Integer>> quotas = new TreeMap<>();
    shares.forEach((account, share) -> distributeShare(account, share, demands, quotas));
    return new SlotPlan(quotas);
  }

  private static Map<Integer, Integer> totalByAccount(
      Map<String, Map<Integer, AccountDemand>> demands) {
    Map<Integer, Integer> totals = new TreeMap<>();
    for (Map<Integer, AccountDemand> perAccount : demands.values()) {
      perAccount.forEach((account, demand) -> totals.merge(account, demand.total(), Integer::sum));
    }
    totals.values().removeIf(total -> total <= 0);
    return totals;
  }

  /**
   * Divides slots into whole shares by weighted max-min fairness.
   *
   * <p>Slots left by rounding down go to the shares with the largest remainders.
   */
  static Map<Integer, Integer> divide(
      int slots, Map<Integer, Integer> demands, IntToDoubleFunction weight) {
    Map<Integer, Double> ideal = waterFill(slots, demands, weight);
    Map<Integer, Integer> shares = new TreeMap<>();
    ideal.forEach((account, share) -> shares.put(account, (int) Math.floor(share + 1e-9)));
    int remaining = Math.min(slots, sum(demands)) - sum(shares);
    remaining = allocateFirstSlots(shares, demands, weight, remaining, slots);
    List<Integer> byRemainder = new ArrayList<>(ideal.keySet());
    byRemainder.sort(Comparator.comparingDouble(a -> shares.get(a) - ideal.get(a)));
    while (remaining > 0) {
      int before = remaining;
      for (int account : byRemainder) {
        if (remaining > 0 && shares.get(account) < demands.get(account)) {
          shares.merge(account, 1, Integer::sum);
          remaining--;
        }
      }
      if (remaining == before) {
        break;
      }
    }
    return shares;
  }

  /**
   * Gives each account without a slot one, taken from the largest share if none is left.
   *
   * @return how many slots are left
   */
  private static int allocateFirstSlots(
      Map<Integer, Integer> shares,
      Map<Integer, Integer> demands,
      IntToDoubleFunction weight,
      int remaining,
      int slots) {
    List<Integer> without = new ArrayList<>(shares.keySet());
    without.removeIf(account -> shares.get(account) > 0);
    without.sort(Comparator.comparingDouble(account -> -weight.applyAsDouble(account)));
    int spare = remaining;
    for (int account : without) {
      if (spare > 0) {
        spare--;
      } else if (!reduceLargestShare(shares)) {
        break;
      }
      shares.put(account, 1);
    }
    return spare;
  }

  /** Takes one slot from the largest share; returns false if no share has more than one. */
  private static boolean reduceLargestShare(Map<Integer, Integer> shares) {
    int largest = -1;
    for (Map.Entry<Integer, Integer> entry : shares.entrySet()) {
      if (largest < 0 || entry.getValue() > shares.get(largest)) {
        largest = entry.getKey();
      }
    }
    if (largest < 0 || shares.get(largest) < 2) {
      return false;
    }
    shares.merge(largest, -1, Integer::sum);
    return true;
  }

  /**
   * Raises all shares in proportion to their weights until the slots or the demands are used up.
   */
  private static Map<Integer, Double> waterFill(
      int slots, Map<Integer, Integer> demands, IntToDoubleFunction weight) {
    Map<Integer, Double> shares = new TreeMap<>();
    List<Integer> unsatisfied = new ArrayList<>(demands.keySet());
    double remaining = slots;
    while (!unsatisfied.isEmpty()) {
      double totalWeight = unsatisfied.stream().mapToDouble(weight::applyAsDouble).sum();
      double level = remaining / totalWeight;
      List<Integer> satisfied = new ArrayList<>();
      for (int account : unsatisfied) {
        if (demands.get(account) <= level * weight.applyAsDouble(account)) {
          satisfied.add(account);
        }
      }
      if (satisfied.isEmpty()) {
        unsatisfied.forEach(account -> shares.put(account, level * weight.applyAsDouble(account)));
        break;
      }
      for (int account : satisfied) {
        shares.put(account, (double) demands.get(account));
        remaining -= demands.get(account);
      }
      unsatisfied.removeAll(satisfied);
    }
    return shares;
  }

  private static int sum(Map<Integer, Integer> counts) {
    return counts.values().stream().mapToInt(count -> count).sum();
  }

  /** One router's part of an account's share while the share is distributed. */
  private static final class RouterPart {
    private final String router;
    private final AccountDemand demand;
    private final double ideal;
    private int slots;

    RouterPart(String router, AccountDemand demand, double ideal) {
      this.router = router;
      this.demand = demand;
      this.ideal = ideal;
      this.slots = demand.inFlight();
    }

    double excess() {
      return slots - ideal;
    }
  }

  /**
   * Distributes a share among routers, first to where the account's requests already run, so that
   * few slots move.
   */
  private static void distributeShare(
      int account,
      int share,
      Map<String, Map<Integer, AccountDemand>> demands,
      Map<String, Map<Integer, Integer>> quotas) {
    List<RouterPart> parts = routerParts(account, share, demands);
    int distributed = parts.stream().mapToInt(part -> part.slots).sum();
    Comparator<RouterPart> byExcess = Comparator.comparingDouble(RouterPart::excess);
    for (; distributed > share; distributed--) {
      parts.stream().filter(p -> p.slots > 0).max(byExcess).orElseThrow().slots--;
    }
    for (; distributed < share; distributed++) {
      parts.stream()
          .filter(part -> part.slots < part.demand.total())
          .min(byExcess)
          .orElseThrow()
          .slots++;
    }
    moveOneSlotTowardsIdeal(parts, byExcess);
    for (RouterPart part : parts) {
      if (part.slots > 0) {
        quotas.computeIfAbsent(part.router, r -> new TreeMap<>()).put(account, part.slots);
      }
    }
  }

  private static List<RouterPart> routerParts(
      int account, int share, Map<String, Map<Integer, AccountDemand>> demands) {
    List<RouterPart> parts = new ArrayList<>();
    double total = 0;
    for (Map<Integer, AccountDemand> perAccount : demands.values()) {
      total += perAccount.getOrDefault(account, AccountDemand.NONE).total();
    }
    for (Map.Entry<String, Map<Integer, AccountDemand>> entry : demands.entrySet()) {
      AccountDemand demand = entry.getValue().getOrDefault(account, AccountDemand.NONE);
      if (demand.total() > 0) {
        parts.add(new RouterPart(entry.getKey(), demand, share * demand.total() / total));
      }
    }
    return parts;
  }

  /** Moves one slot if two routers deviate by more than one slot from their proportional parts. */
  private static void moveOneSlotTowardsIdeal(
      List<RouterPart> parts, Comparator<RouterPart> byExcess) {
    if (parts.size() < 2) {
      return;
    }
    RouterPart most = parts.stream().max(byExcess).orElseThrow();
    RouterPart least = parts.stream().min(byExcess).orElseThrow();
    boolean unbalanced = most.excess() > 1 && least.excess() < -1 && most.slots > 1;
    if (unbalanced && least.slots < least.demand.total()) {
      most.slots--;
      least.slots++;
    }
  }
}
