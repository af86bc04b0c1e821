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

  /** Most of a share that is served while the engines have less work than they can do. */
  private static final double MOST_HEADROOM = 1.5;

  /** Change of the headroom at each new level; slow, so that all accounts have the same of it. */
  private static final double HEADROOM_STEP = 0.01;

  /** Bound of the tokens counted for each token of work, against a wrong start. */
  private static final double MOST_TOKENS_FOR_WORK = 3;

  /** Use below which an account is not told of, in tokens. */
  private static final double LEAST_TOLD = 10;

  /** Age at which a level is computed anew. */
  private static final long LEVEL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final LongSupplier clock;
  private final Map<String, Use> own = new HashMap<>();
  private Map<String, AccountUse> others = Map.of();
  private long othersAt;
  private double headroom = 1;
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
  public synchronized void recordDemand(String account, long tokens) {
    use(account).asked += tokens;
  }

  /**
   * Counts a request that was admitted.
   *
   * @param tokens its tokens in the account's share
   * @param work what engines have to do for it, in tokens
   */
  public synchronized void recordAdmission(String account, long tokens, long work) {
    Use use = use(account);
    use.admitted += tokens;
    use.work += work;
  }

  /**
   * Returns the part of their capacity that the engines were given work for lately.
   *
   * @param tokensPerSecond capacity of all engines; 0 if not known
   */
  public synchronized double utilisation(double tokensPerSecond) {
    return tokensPerSecond > 0 ? work() / (tokensPerSecond * MEMORY_SECONDS) : 0;
  }

  private double work() {
    double work = others.values().stream().mapToLong(AccountUse::getWork).sum();
    for (String account : own.keySet()) {
      work += use(account).work;
    }
    return work;
  }

  /** Tokens of prompts that engines kept cost no work, so more of them are served. */
  private double tokensForWork() {
    double admitted = others.values().stream().mapToLong(AccountUse::getAdmitted).sum();
    for (String account : own.keySet()) {
      admitted += use(account).admitted;
    }
    double work = work();
    return work <= 0 ? 1 : Math.max(1, Math.min(MOST_TOKENS_FOR_WORK, admitted / work));
  }

  /** Replaces what is known of the other routers. */
  public synchronized void updateRemoteUsage(List<AccountUse> uses) {
    Map<String, AccountUse> next = new HashMap<>();
    uses.forEach(use -> next.put(use.getAccount(), use));
    others = next;
    othersAt = clock.getAsLong();
  }

  /** Returns what accounts asked for and got here lately. */
  public synchronized List<AccountUse> localUsage() {
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
   * What was found about a request. Immutable.
   *
   * @param aboveShare whether it would take its account above its share
   * @param admittedTokens tokens that the account got lately, at all routers
   * @param fairShareTokens share of the account, in tokens
   * @param remoteUsageAgeMillis age of what is known of the other routers; -1 if nothing is
   */
  public record ShareCheck(
      boolean aboveShare,
      double admittedTokens,
      double fairShareTokens,
      long remoteUsageAgeMillis) {}

  /**
   * Judges whether a request would take its account above its share.
   *
   * @param tokens tokens of the request
   * @param tokensPerSecond capacity of all engines; 0 if not known, so that nobody is above
   */
  public synchronized ShareCheck checkShare(String account, long tokens, double tokensPerSecond) {
    long age = othersAt == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - othersAt);
    double admitted = use(account).admitted + othersUse(account).getAdmitted();
    if (tokensPerSecond <= 0) {
      return new ShareCheck(false, admitted, Double.MAX_VALUE, age);
    }
    double share = fairShare(tokensPerSecond * MEMORY_SECONDS);
    return new ShareCheck(admitted + tokens / 2.0 > share, admitted, share, age);
  }

  private AccountUse othersUse(String account) {
    return others.getOrDefault(account, AccountUse.getDefaultInstance());
  }

  private double fairShare(double capacity) {
    long now = clock.getAsLong();
    if (!levelKnown || levelCapacity != capacity || now - levelAt > LEVEL_NANOS) {
      Map<String, Double> asked = new HashMap<>();
      own.keySet().forEach(account -> asked.put(account, use(account).asked));
      others.forEach((account, use) -> asked.merge(account, (double) use.getAsked(), Double::sum));
      double step = work() < capacity ? HEADROOM_STEP : -2 * HEADROOM_STEP;
      headroom = Math.max(1, Math.min(MOST_HEADROOM, headroom + step));
      double tokens = capacity * headroom * tokensForWork();
      level = fairShare(asked.values().stream().mapToDouble(d -> d).toArray(), tokens);
      levelCapacity = capacity;
      levelAt = now;
      levelKnown = true;
    }
    return level;
  }

  /** Returns the level at which the lesser of it and each demand add up to the capacity. */
  static double fairShare(double[] asked, double capacity) {
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
