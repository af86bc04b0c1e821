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
 * Max-min fair shares of client accounts in the token throughput of all engines.
 *
 * <p>Tracks the demanded and admitted tokens of each account with exponential decay, at this router
 * and, as last reported, at the other routers. The fair share is the amount at which the engines'
 * capacity is used up when each account gets the smaller of that amount and its demand. An account
 * whose admitted tokens exceed it is above its share. Thread-safe; does no I/O.
 */
public final class AccountShares {

  /**
   * Time in which usage decays to 1/e: half of the operators' quota window, so that usage that is a
   * whole window old has little weight. A window with a sharp edge makes the admitted load
   * oscillate with the length of the window.
   */
  private static final double DECAY_SECONDS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Largest factor by which the capacity is extended while the engines are underutilised. */
  private static final double MAX_HEADROOM = 1.5;

  /** Change of the headroom per update; small, so that all accounts get about the same. */
  private static final double HEADROOM_STEP = 0.01;

  /** Upper bound of admitted tokens per token of work; the ratio is unreliable at the start. */
  private static final double MAX_TOKENS_PER_WORK_TOKEN = 3;

  /** Demand up to which an account is left out of reports, in tokens. */
  private static final double MIN_REPORTED_TOKENS = 10;

  /** Requests from which their mean work is known. */
  private static final double MIN_MEAN_REQUESTS = 1;

  /** Age above which the fair share is recomputed. */
  private static final long FAIR_SHARE_MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final LongSupplier clock;
  private final Map<String, LocalUsage> localUsage = new HashMap<>();
  private Map<String, AccountUse> remoteUsage = Map.of();
  private long remoteUsageAt;
  private double headroom = 1;
  private double fairShare = Double.MAX_VALUE;
  private double fairShareCapacity;
  private long fairShareAt;
  private boolean fairShareKnown;

  /** Creates shares without usage; {@code clock} returns nanoseconds. */
  public AccountShares(LongSupplier clock) {
    this.clock = clock;
  }

  /** Tokens and requests of one account at this router; they decay over time. */
  private static final class LocalUsage {
    private double demanded;
    private double admitted;
    private double work;
    private double requests;
    private long updatedAt;

    void decay(long now) {
      double factor = Math.exp(-(now - updatedAt) / (NANOS_PER_SECOND * DECAY_SECONDS));
      demanded *= factor;
      admitted *= factor;
      work *= factor;
      requests *= factor;
      updatedAt = now;
    }
  }

  private LocalUsage usage(String account) {
    LocalUsage usage = localUsage.computeIfAbsent(account, name -> new LocalUsage());
    usage.decay(clock.getAsLong());
    return usage;
  }

  /** Records the tokens that a request demands. */
  public synchronized void recordDemand(String account, long tokens) {
    LocalUsage usage = usage(account);
    usage.demanded += tokens;
    usage.requests++;
  }

  /**
   * Records an admitted request.
   *
   * @param tokens tokens charged to the account's share
   * @param work work of the engines for the request, in tokens
   */
  public synchronized void recordAdmission(String account, long tokens, long work) {
    LocalUsage usage = usage(account);
    usage.admitted += tokens;
    usage.work += work;
  }

  /**
   * Returns the mean work of the requests that lately arrived here, in tokens; 0 if there were few.
   * Those admitted would tell less: they are the smaller ones while accounts are above their share.
   */
  public synchronized double meanWorkTokens() {
    double demanded = 0;
    double requests = 0;
    for (String account : localUsage.keySet()) {
      LocalUsage usage = usage(account);
      demanded += usage.demanded;
      requests += usage.requests;
    }
    return requests < MIN_MEAN_REQUESTS ? 0 : demanded / requests / tokensPerWorkToken();
  }

  /**
   * Returns the recently admitted work as a fraction of the capacity of the engines.
   *
   * @param tokensPerSecond capacity of all engines; 0 if not known
   */
  public synchronized double utilisation(double tokensPerSecond) {
    return tokensPerSecond > 0 ? totalWork() / (tokensPerSecond * DECAY_SECONDS) : 0;
  }

  private double totalWork() {
    double work = remoteUsage.values().stream().mapToLong(AccountUse::getWork).sum();
    for (String account : localUsage.keySet()) {
      work += usage(account).work;
    }
    return work;
  }

  /** Cached prompt tokens cost the engines no work, so more tokens are served than work is done. */
  private double tokensPerWorkToken() {
    double admitted = remoteUsage.values().stream().mapToLong(AccountUse::getAdmitted).sum();
    for (String account : localUsage.keySet()) {
      admitted += usage(account).admitted;
    }
    double work = totalWork();
    return work <= 0 ? 1 : Math.max(1, Math.min(MAX_TOKENS_PER_WORK_TOKEN, admitted / work));
  }

  /** Replaces the usage reported by the other routers. */
  public synchronized void updateRemoteUsage(List<AccountUse> usages) {
    Map<String, AccountUse> byAccount = new HashMap<>();
    usages.forEach(usage -> byAccount.put(usage.getAccount(), usage));
    remoteUsage = byAccount;
    remoteUsageAt = clock.getAsLong();
  }

  /** Returns the recent usage of each account at this router. */
  public synchronized List<AccountUse> localUsage() {
    List<AccountUse> usages = new ArrayList<>();
    localUsage
        .keySet()
        .forEach(
            account -> {
              LocalUsage usage = usage(account);
              if (usage.demanded > MIN_REPORTED_TOKENS) {
                usages.add(
                    AccountUse.newBuilder()
                        .setAccount(account)
                        .setAsked((long) usage.demanded)
                        .setAdmitted((long) usage.admitted)
                        .setWork((long) usage.work)
                        .build());
              }
            });
    return usages;
  }

  /**
   * Result of comparing a request with the fair share of its account. Immutable.
   *
   * @param aboveShare whether the request takes its account above its share
   * @param admittedTokens tokens recently admitted for the account, at all routers
   * @param fairShareTokens fair share of the account, in tokens
   * @param remoteUsageAgeMillis age of the other routers' usage; -1 if none was reported
   */
  public record ShareCheck(
      boolean aboveShare,
      double admittedTokens,
      double fairShareTokens,
      long remoteUsageAgeMillis) {}

  /**
   * Checks whether a request takes its account above its share.
   *
   * @param tokens tokens of the request
   * @param tokensPerSecond capacity of all engines; 0 if not known, so that no account is above
   */
  public synchronized ShareCheck checkShare(String account, long tokens, double tokensPerSecond) {
    long remoteUsageAgeMillis =
        remoteUsageAt == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - remoteUsageAt);
    double admitted = usage(account).admitted + remoteUsage(account).getAdmitted();
    if (tokensPerSecond <= 0) {
      return new ShareCheck(false, admitted, Double.MAX_VALUE, remoteUsageAgeMillis);
    }
    double share = fairShare(tokensPerSecond * DECAY_SECONDS);
    return new ShareCheck(admitted + tokens / 2.0 > share, admitted, share, remoteUsageAgeMillis);
  }

  /** Returns the tokens that an account demanded lately, at all routers. */
  public synchronized double demandedTokens(String account) {
    return usage(account).demanded + remoteUsage(account).getAsked();
  }

  private AccountUse remoteUsage(String account) {
    return remoteUsage.getOrDefault(account, AccountUse.getDefaultInstance());
  }

  private double fairShare(double capacity) {
    long now = clock.getAsLong();
    if (!fairShareKnown
        || fairShareCapacity != capacity
        || now - fairShareAt > FAIR_SHARE_MAX_AGE_NANOS) {
      Map<String, Double> demands = new HashMap<>();
      localUsage.keySet().forEach(account -> demands.put(account, usage(account).demanded));
      remoteUsage.forEach(
          (account, usage) -> demands.merge(account, (double) usage.getAsked(), Double::sum));
      double step = totalWork() < capacity ? HEADROOM_STEP : -2 * HEADROOM_STEP;
      headroom = Math.max(1, Math.min(MAX_HEADROOM, headroom + step));
      double tokens = capacity * headroom * tokensPerWorkToken();
      fairShare = fairShare(demands.values().stream().mapToDouble(d -> d).toArray(), tokens);
      fairShareCapacity = capacity;
      fairShareAt = now;
      fairShareKnown = true;
    }
    return fairShare;
  }

  /**
   * Returns the max-min fair share: the sum over all demands of the smaller of it and the demand is
   * the capacity. It is {@link Double#MAX_VALUE} if the capacity exceeds the sum of the demands.
   */
  static double fairShare(double[] demands, double capacity) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double remaining = capacity;
    for (int i = 0; i < sorted.length; i++) {
      double equalShare = remaining / (sorted.length - i);
      if (sorted[i] >= equalShare) {
        return equalShare;
      }
      remaining -= sorted[i];
    }
    return Double.MAX_VALUE;
  }
}
