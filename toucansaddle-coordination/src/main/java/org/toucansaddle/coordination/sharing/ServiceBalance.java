package org.toucansaddle.coordination.sharing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntToDoubleFunction;

/**
 * Service received by each account while it was backlogged, as a dispatcher sees it.
 *
 * <p>Routers report running totals; only increases count, so a repeated or late report changes
 * nothing and a router that restarts from zero loses nothing. An account that becomes backlogged
 * starts at the least service among the backlogged ones, and none starts ahead of the most: no
 * credit from idling and no debt from having used idle capacity. Not thread-safe.
 */
public final class ServiceBalance {

  /** Running totals of one start of a router. */
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
   * @param maxLeadTokens largest difference from the mean that is remembered, in tokens; what a
   *     partition hid beyond it is forgiven
   */
  public ServiceBalance(double maxLeadTokens) {
    this.maxDeviationTokens = maxLeadTokens;
  }

  /**
   * Takes a router's running totals by account, in tokens.
   *
   * <p>The first report of a router's incarnation only says where its totals stand. A report of an
   * earlier incarnation is ignored.
   */
  public void report(String router, long incarnation, Map<Integer, Long> totals) {
    RouterTotals known = routers.get(router);
    if (known != null && known.incarnation > incarnation) {
      return;
    }
    boolean first = known == null || known.incarnation < incarnation;
    RouterTotals current = first ? new RouterTotals(incarnation) : known;
    routers.put(router, current);
    totals.forEach((account, total) -> report(current, account, total, !first));
  }

  private void report(RouterTotals router, int account, long total, boolean counts) {
    long before = router.byAccount.getOrDefault(account, 0L);
    if (total <= before) {
      return;
    }
    router.byAccount.put(account, total);
    if (counts) {
      double added = total - before;
      totalTokens += added;
      service.merge(account, added, Double::sum);
    }
  }

  /** Forgets the running totals of a router that will not come back as it was. */
  public void removeRouter(String router) {
    routers.remove(router);
  }

  /** Returns the routers whose totals are kept. */
  public Set<String> routers() {
    return Set.copyOf(routers.keySet());
  }

  /** Sets which accounts have requests waiting somewhere. */
  public void setBacklogged(Set<Integer> accounts) {
    Set<Integer> staying = new HashSet<>(backlogged);
    staying.retainAll(accounts);
    double least = staying.stream().mapToDouble(this::serviceOf).min().orElse(0);
    double most = staying.stream().mapToDouble(this::serviceOf).max().orElse(0);
    for (int account : accounts) {
      if (!staying.contains(account)) {
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
   * Returns how far an account is behind the mean of the backlogged ones, in tokens.
   *
   * @param unreported service given since the last reports, as an estimate by account
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

  /** Returns the largest difference between two backlogged accounts, in tokens. */
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
