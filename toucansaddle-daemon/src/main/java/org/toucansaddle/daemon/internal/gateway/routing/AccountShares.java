package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucansaddle.protocol.generated.AccountUse;

/**
 * Max-min shares of client accounts in the tokens that all engines serve, without I/O.
 *
 * <p>Counts what each account asked for and was admitted with within a sliding window, here and, as
 * last told, at the other routers. An account is above its share when it was admitted with more
 * than the level at which the engines' capacity is used up by giving everyone the lesser of that
 * level and what they asked for. Thread-safe.
 */
public final class AccountShares {

  /**
   * Time after which use counts a third: half of the operators' quota window, so that what was used
   * a whole window ago hardly counts. A window with edges would let the load come back in waves.
   */
  private static final double MEMORY_SECONDS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Use below which an account is not told of, in tokens. */
  private static final double LEAST_TOLD = 10;

  /** Age at which a level is computed anew. */
  private static final long LEVEL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final LongSupplier clock;
  private final Map<String, Use> own = new HashMap<>();
  private Map<String, AccountUse> others = Map.of();
  private double level = Double.MAX_VALUE;
  private double levelCapacity;
  private long levelAt;
  private boolean levelKnown;

  /** Creates shares without use; {@code clock} gives nanoseconds. */
  public AccountShares(LongSupplier clock) {
    this.clock = clock;
  }

  /** What one account asked for and got here; fades with time. */
  private static final class Use {
    private double asked;
    private double admitted;
    private double work;
    private long at;

    void fade(long now) {
      double kept = Math.exp(-(now - at) / (NANOS_PER_SECOND * MEMORY_SECONDS));
      asked *= kept;
      admitted *= kept;
      work *= kept;
      at = now;
    }
  }

  private Use use(String account) {
    Use use = own.computeIfAbsent(account, name -> new Use());
    use.fade(clock.getAsLong());
    return use;
  }

  /** Counts tokens that a request asks for. */
  public synchronized void asked(String account, long tokens) {
    use(account).asked += tokens;
  }

  /**
   * Counts a request that was admitted.
   *
   * @param tokens its tokens in the account's share
   * @param work what engines have to do for it, in tokens
   */
  public synchronized void admitted(String account, long tokens, long work) {
    Use use = use(account);
    use.admitted += tokens;
    use.work += work;
  }

  /** Returns whether the engines have as much to do as they can. */
  public synchronized boolean isBusy(double tokensPerSecond) {
    double work = others.values().stream().mapToLong(AccountUse::getWork).sum();
    for (String account : own.keySet()) {
      work += use(account).work;
    }
    return tokensPerSecond > 0 && work > tokensPerSecond * MEMORY_SECONDS;
  }

  /** Replaces what is known of the other routers. */
  public synchronized void othersAre(List<AccountUse> uses) {
    Map<String, AccountUse> next = new HashMap<>();
    uses.forEach(use -> next.put(use.getAccount(), use));
    others = next;
  }

  /** Returns what accounts asked for and got here lately. */
  public synchronized List<AccountUse> own() {
    List<AccountUse> uses = new ArrayList<>();
    own.keySet()
        .forEach(
            account -> {
              Use use = use(account);
              if (use.asked > LEAST_TOLD) {
                uses.add(
                    AccountUse.newBuilder()
                        .setAccount(account)
                        .setAsked((long) use.asked)
                        .setAdmitted((long) use.admitted)
                        .setWork((long) use.work)
                        .build());
              }
            });
    return uses;
  }

  /**
   * Returns whether a request would take its account above its share.
   *
   * @param tokens tokens of the request
   * @param tokensPerSecond capacity of all engines; 0 if not known, so that nobody is above
   */
  public synchronized boolean isAboveShare(String account, long tokens, double tokensPerSecond) {
    if (tokensPerSecond <= 0) {
      return false;
    }
    double admitted = use(account).admitted + othersUse(account).getAdmitted();
    return admitted + tokens / 2 > level(tokensPerSecond * MEMORY_SECONDS);
  }

  private AccountUse othersUse(String account) {
    return others.getOrDefault(account, AccountUse.getDefaultInstance());
  }

  private double level(double capacity) {
    long now = clock.getAsLong();
    if (!levelKnown || levelCapacity != capacity || now - levelAt > LEVEL_NANOS) {
      Map<String, Double> asked = new HashMap<>();
      own.keySet().forEach(account -> asked.put(account, use(account).asked));
      others.forEach((account, use) -> asked.merge(account, (double) use.getAsked(), Double::sum));
      level = level(asked.values().stream().mapToDouble(d -> d).toArray(), capacity);
      levelCapacity = capacity;
      levelAt = now;
      levelKnown = true;
    }
    return level;
  }

  /** Returns the level at which the lesser of it and each demand add up to the capacity. */
  static double level(double[] asked, double capacity) {
    double[] sorted = asked.clone();
    Arrays.sort(sorted);
    double left = capacity;
    for (int i = 0; i < sorted.length; i++) {
      double even = left / (sorted.length - i);
      if (sorted[i] >= even) {
        return even;
      }
      left -= sorted[i];
    }
    return Double.MAX_VALUE;
  }
}
