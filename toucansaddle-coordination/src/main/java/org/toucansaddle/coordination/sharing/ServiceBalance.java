package org.toucansaddle.coordination.sharing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntToDoubleFunction;

/**
 * Service that each account received while it was backlogged, as reported to a dispatcher.
 *
 * <p>Routers report running totals. Only increases count, so a repeated or late report changes
 * nothing and a router that restarts from zero loses nothing.
 *
 * <p>An account that becomes backlogged starts between the least and the most service of the
 * backlogged accounts. So it gains no credit from idling and keeps no debt from having used idle
 * capacity. Not thread-safe.
 */
public final class ServiceBalance {

  /** Running totals of one incarnation of a router. */
  private static final class RouterTotals {
    private final long incarnation;
    private final Map<Integer, Long> byAccount = new HashMap<>();

    RouterTotals(long incarnation) {
      this.incarnation = incarnation;
    }
  }

  private final double maxDeviationTokens;
  private final Map<String, RouterTotals> routers = new HashMap<>();
  private final Map<Integer, Double> service = new HashMap<>();
  private Set<Integer> backlogged = new HashSet<>();
  private double totalTokens;

  /**
   * Creates an empty balance.
   *
   * @param maxDeviationTokens largest difference from the mean that is kept, in tokens; service
   *     beyond it, such as a partition may hide, is disregarded
   */
  public ServiceBalance(double maxDeviationTokens) {
    this.maxDeviationTokens = maxDeviationTokens;
  }

  /**
   * Adds the increases of a router's running totals.
   *
   * <p>The first report of each incarnation of a router only sets the baseline. A report of an
   * earlier incarnation is ignored.
   *
   * @param totals running totals by account number, in tokens
   */
  public void report(String router, long incarnation, Map<Integer, Long> totals) {
    RouterTotals previous = routers.get(router);
    if (previous != null && previous.incarnation > incarnation) {
      return;
    }
    boolean first = previous == null || previous.incarnation < incarnation;
    RouterTotals current = first ? new RouterTotals(incarnation) : previous;
    routers.put(router, current);
    totals.forEach((account, total) -> report(current, account, total, !first));
  }

  private void report(RouterTotals router, int account, long total, boolean counted) {
    long previous = router.byAccount.getOrDefault(account, 0L);
    if (total <= previous) {
      return;
    }
    router.byAccount.put(account, total);
    if (counted) {
      double added = total - previous;
      totalTokens += added;
      service.merge(account, added, Double::sum);
    }
  }

  /** Removes the running totals of a router that is not expected to return. */
  public void removeRouter(String router) {
    routers.remove(router);
  }

  /** Returns the routers whose totals are kept. */
  public Set<String> routers() {
    return Set.copyOf(routers.keySet());
  }

  /** Sets the accounts that have waiting requests at any router. */
  public void setBacklogged(Set<Integer> accounts) {
    Set<Integer> stillBacklogged = new HashSet<>(backlogged);
    stillBacklogged.retainAll(accounts);
    double least = stillBacklogged.stream().mapToDouble(this::serviceOf).min().orElse(0);
    double most = stillBacklogged.stream().mapToDouble(this::serviceOf).max().orElse(0);
    for (int account : accounts) {
      if (!stillBacklogged.contains(account)) {
        service.put(account, clamp(serviceOf(account), least, most));
      }
    }
    backlogged = new HashSet<>(accounts);
    service.keySet().removeIf(account -> !accounts.contains(account));
    limitDeviation();
  }

  private static double clamp(double value, double least, double most) {
    return Math.min(Math.max(value, least), most);
  }

  private void limitDeviation() {
    double mean = mean();
    service.replaceAll((a, s) -> clamp(s, mean - maxDeviationTokens, mean + maxDeviationTokens));
  }

  private double serviceOf(int account) {
    return service.getOrDefault(account, 0.0);
  }

  private double mean() {
    return backlogged.stream().mapToDouble(this::serviceOf).average().orElse(0);
  }

  /**
   * Returns how far an account is behind the mean of the backlogged ones, in tokens; 0 if it is not
   * backlogged.
   *
   * @param unreported estimated service since the last reports by account number, in tokens
   */
  public double lag(int account, IntToDoubleFunction unreported) {
    if (!backlogged.contains(account)) {
      return 0;
    }
    double mean =
        backlogged.stream()
            .mapToDouble(a -> serviceOf(a) + unreported.applyAsDouble(a))
            .average()
            .orElse(0);
    return mean - serviceOf(account) - unreported.applyAsDouble(account);
  }

  /** Returns the largest difference in service between two backlogged accounts, in tokens. */
  public double gap() {
    double least = backlogged.stream().mapToDouble(this::serviceOf).min().orElse(0);
    double most = backlogged.stream().mapToDouble(this::serviceOf).max().orElse(0);
    return most - least;
  }

  /** Returns all service reported so far, in tokens. */
  public double totalTokens() {
    return totalTokens;
  }
}
