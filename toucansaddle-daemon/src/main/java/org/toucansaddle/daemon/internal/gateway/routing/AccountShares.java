package org.toucansaddle.daemon.internal.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.sharing.MaxMinShare;
import org.toucansaddle.coordination.sharing.SharedThroughput;
import org.toucansaddle.coordination.sharing.SharedThroughput.Load;
import org.toucansaddle.daemon.internal.gateway.routing.FormerShares.Use;
import org.toucansaddle.protocol.generated.AccountUse;
import org.toucansaddle.protocol.generated.FleetUpdate;

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

  /**
   * Time in which what was turned away and what is demanded at present decay to 1/e: a pool may be
   * full one moment only, and an account that has demanded less since a burst must not wait until
   * the burst is forgotten.
   */
  private static final double RECENT_DECAY_SECONDS = 0.5;

  /** Tokens in the window of the shares per token that is demanded recently, at an even rate. */
  private static final double WINDOW_PER_RECENT = DECAY_SECONDS / RECENT_DECAY_SECONDS;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Upper bound of admitted tokens per token of work; the ratio is unreliable at the start. */
  private static final double MAX_TOKENS_PER_WORK_TOKEN = 3;

  /** Demand up to which an account is left out of reports, in tokens. */
  private static final double MIN_REPORTED_TOKENS = 10;

  /** Tokens below which an account is dropped; those of accounts that left would stay for ever. */
  private static final double FORGOTTEN_TOKENS = 1;

  /** Requests from which their mean work is known. */
  private static final double MIN_MEAN_REQUESTS = 1;

  /** Age above which the fair share is recomputed. */
  private static final long FAIR_SHARE_MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Multiple of its share from which nothing is admitted for an account. */
  private static final double MAX_OVERSHOOT = 1.25;

  /** Rate at which an account that got nothing lately is admitted, as a multiple of its share. */
  private static final double MAX_CATCH_UP = 3;

  private final LongSupplier clock;
  private final DoubleSupplier random;
  private final Map<String, LocalUsage> localUsage = new HashMap<>();
  private Map<String, AccountUse> remoteUsage = Map.of();
  private long remoteUsageAt;
  private SharedThroughput throughput = new SharedThroughput();
  private FormerShares formerShares = new FormerShares(NANOS_PER_SECOND * DECAY_SECONDS);
  private double fairShare = Double.MAX_VALUE;
  private double fairShareCapacity;
  private long fairShareAt;
  private boolean fairShareKnown;

  /** Creates shares without usage; {@code clock} returns nanoseconds. */
  public AccountShares(LongSupplier clock) {
    this(clock, () -> ThreadLocalRandom.current().nextDouble());
  }

  /** Creates shares without usage; {@code random} returns numbers in [0, 1). */
  AccountShares(LongSupplier clock, DoubleSupplier random) {
    this.clock = clock;
    this.random = random;
  }

  /**
   * Returns a copy that changes independently.
   *
   * @param otherRandom returns numbers in [0, 1) for the copy
   */
  public synchronized AccountShares copy(DoubleSupplier otherRandom) {
    AccountShares copy = new AccountShares(clock, otherRandom);
    localUsage.forEach((account, usage) -> copy.localUsage.put(account, usage.copy()));
    copy.remoteUsage = remoteUsage;
    copy.remoteUsageAt = remoteUsageAt;
    copy.throughput = throughput.copy();
    copy.formerShares = formerShares.copy();
    copy.fairShare = fairShare;
    copy.fairShareCapacity = fairShareCapacity;
    copy.fairShareAt = fairShareAt;
    copy.fairShareKnown = fairShareKnown;
    return copy;
  }

  /** Tokens and requests of one account at this router; they decay over time. */
  private static final class LocalUsage {
    private double demanded;
    private double admitted;
    private double work;
    private double turnedAway;
    private double recentlyDemanded;
    private double requests;
    private long updatedAt;

    LocalUsage copy() {
      LocalUsage copy = new LocalUsage();
      copy.demanded = demanded;
      copy.admitted = admitted;
      copy.work = work;
      copy.turnedAway = turnedAway;
      copy.recentlyDemanded = recentlyDemanded;
      copy.requests = requests;
      copy.updatedAt = updatedAt;
      return copy;
    }

    void decay(long now) {
      if (now == updatedAt) {
        return;
      }
      double factor = Math.exp(-(now - updatedAt) / (NANOS_PER_SECOND * DECAY_SECONDS));
      demanded *= factor;
      admitted *= factor;
      work *= factor;
      double recentFactor = Math.pow(factor, WINDOW_PER_RECENT);
      turnedAway *= recentFactor;
      recentlyDemanded *= recentFactor;
      requests *= factor;
      updatedAt = now;
    }

    boolean isForgotten() {
      return demanded < FORGOTTEN_TOKENS
          && work < FORGOTTEN_TOKENS
          && turnedAway < FORGOTTEN_TOKENS;
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
    usage.recentlyDemanded += tokens;
    usage.requests++;
  }

  /** Records a request that was refused because the upstreams had no room for its tokens. */
  public synchronized void recordTurnedAway(String account, long tokens) {
    usage(account).turnedAway += tokens;
  }

  /**
   * What an admitted request was charged to the share of its account. Immutable.
   *
   * @param tokens tokens charged to the share
   * @param atNanos when they were charged, on the clock of the shares
   */
  public record Charge(String account, long tokens, long atNanos) {}

  /**
   * Records an admitted request.
   *
   * @param tokens tokens charged to the account's share
   * @param work work of the engines for the request, in tokens
   */
  public synchronized Charge recordAdmission(String account, long tokens, long work) {
    LocalUsage usage = usage(account);
    usage.admitted += tokens;
    usage.work += work;
    return new Charge(account, tokens, clock.getAsLong());
  }

  /**
   * Takes back what is left of the charge of a request that ended without a first token. Its work
   * stays recorded: it used the engines.
   */
  public synchronized void withdraw(Charge charge) {
    LocalUsage usage = usage(charge.account());
    double left =
        Math.exp(-(clock.getAsLong() - charge.atNanos()) / (NANOS_PER_SECOND * DECAY_SECONDS));
    usage.admitted = Math.max(0, usage.admitted - charge.tokens() * left);
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

  /**
   * Returns what an account demands in the window of the shares: the demand of the last window, or
   * that at its present rate if it is less. A single large request makes the present rate high.
   */
  private static double demand(double demanded, double recentlyDemanded) {
    return Math.min(demanded, WINDOW_PER_RECENT * recentlyDemanded);
  }

  /** Returns the tokens that a report says were demanded recently; older daemons do not say so. */
  public static long recentlyAsked(AccountUse use) {
    return use.hasRecentlyAsked()
        ? use.getRecentlyAsked()
        : (long) (use.getAsked() / WINDOW_PER_RECENT);
  }

  /**
   * Replaces the usage reported by the other routers by that of an update. An older daemon, which
   * names no report that it answers, passes on what was recently asked at one router as if it were
   * that of all, so it counts as not set.
   */
  public void updateRemoteUsage(FleetUpdate update) {
    List<AccountUse> usages = update.getAccountsList();
    updateRemoteUsage(
        update.hasAnsweredReport()
            ? usages
            : usages.stream().map(use -> use.toBuilder().clearRecentlyAsked().build()).toList());
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
                        .setTurnedAway((long) usage.turnedAway)
                        .setRecentlyAsked((long) usage.recentlyDemanded)
                        .build());
              }
            });
    return usages;
  }

  /**
   * What a router knows of an account, in recent tokens at all routers. Immutable.
   *
   * @param demandedTokens tokens that it demands in the window of the shares
   * @param admittedTokens tokens of those that were admitted and count towards its share
   * @param fairShareTokens its fair share; {@link Double#MAX_VALUE} if all demands fit
   * @param remoteUsageAgeMillis age of the other routers' usage; -1 if none was reported
   */
  public record AccountState(
      double demandedTokens,
      double admittedTokens,
      double fairShareTokens,
      long remoteUsageAgeMillis) {}

  /**
   * Result of comparing a request with the fair share of its account. Immutable.
   *
   * @param aboveShare whether the request is not among the part of the account's requests that its
   *     share admits
   */
  public record ShareCheck(boolean aboveShare, AccountState state) {}

  /**
   * Returns what this router knows of an account.
   *
   * @param tokensPerSecond capacity of all engines; 0 if not known, so that all demands fit
   */
  public synchronized AccountState state(String account, double tokensPerSecond) {
    long now = clock.getAsLong();
    double share =
        tokensPerSecond > 0 ? fairShare(tokensPerSecond * DECAY_SECONDS) : Double.MAX_VALUE;
    LocalUsage local = localUsage.getOrDefault(account, new LocalUsage());
    local.decay(now);
    AccountUse remote = remoteUsage.getOrDefault(account, AccountUse.getDefaultInstance());
    long ageMillis = remoteUsageAt == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(now - remoteUsageAt);
    double admitted = local.admitted + remote.getAdmitted() - formerShares.of(account, now);
    return new AccountState(demandAtAllRouters(account), Math.max(0, admitted), share, ageMillis);
  }

  /**
   * Checks whether a request takes its account above its share.
   *
   * @param tokens tokens of the request
   * @param tokensPerSecond capacity of all engines; 0 if not known, so that no account is above
   */
  public synchronized ShareCheck checkShare(String account, long tokens, double tokensPerSecond) {
    AccountState state = state(account, tokensPerSecond);
    return new ShareCheck(random.getAsDouble() >= admittedPart(state, tokens), state);
  }

  /**
   * Returns the part of an account's requests that is admitted, the same at all routers: at its
   * present rate the account gets its share, more while it got less before, and less while it got
   * more. If each router admitted all until the sums that it knows reach the share, all would
   * exceed it together until the next report, and then admit nothing.
   */
  public static double admittedPart(AccountState state, long tokens) {
    double share = state.fairShareTokens();
    if (share == Double.MAX_VALUE) {
      return 1;
    }
    double admitted = (state.admittedTokens() + tokens / 2.0) / share;
    double multipleOfShare =
        admitted <= 1
            ? MAX_CATCH_UP - (MAX_CATCH_UP - 1) * admitted
            : (MAX_OVERSHOOT - admitted) / (MAX_OVERSHOOT - 1);
    double part = multipleOfShare * share / Math.max(1, state.demandedTokens());
    return Math.max(0, Math.min(1, part));
  }

  /**
   * Returns whether the pool carries less than its rated throughput and turns requests away, so
   * that its accounts share what it carries.
   *
   * @param tokensPerSecond capacity of all engines; 0 if not known
   */
  public synchronized boolean isPoolFull(double tokensPerSecond) {
    if (tokensPerSecond > 0) {
      fairShare(tokensPerSecond * DECAY_SECONDS);
    }
    return throughput.isLimited();
  }

  /** Returns the demand of an account by the sums of all routers; the local ones are up to date. */
  private double demandAtAllRouters(String account) {
    LocalUsage local = localUsage.getOrDefault(account, new LocalUsage());
    AccountUse remote = remoteUsage.getOrDefault(account, AccountUse.getDefaultInstance());
    return demand(
        local.demanded + remote.getAsked(), local.recentlyDemanded + recentlyAsked(remote));
  }

  private double fairShare(double capacity) {
    long now = clock.getAsLong();
    if (!fairShareKnown
        || fairShareCapacity != capacity
        || now - fairShareAt > FAIR_SHARE_MAX_AGE_NANOS) {
      localUsage.values().forEach(usage -> usage.decay(now));
      localUsage.values().removeIf(LocalUsage::isForgotten);
      Map<String, Use> uses = usesAtAllRouters();
      double[] amounts = uses.keySet().stream().mapToDouble(this::demandAtAllRouters).toArray();
      double newShare = MaxMinShare.compute(amounts, throughput.update(load(capacity), now));
      formerShares.update(fairShare, newShare, uses, now);
      fairShare = newShare;
      fairShareCapacity = capacity;
      fairShareAt = now;
      fairShareKnown = true;
    }
    return fairShare;
  }

  private Map<String, Use> usesAtAllRouters() {
    Map<String, Use> uses = new HashMap<>();
    localUsage.keySet().forEach(account -> uses.put(account, useAtAllRouters(account)));
    remoteUsage.keySet().forEach(account -> uses.putIfAbsent(account, useAtAllRouters(account)));
    return uses;
  }

  /** Demand at twice its mean rate in the window, or more, is the start of a burst. */
  private Use useAtAllRouters(String account) {
    LocalUsage local = localUsage.getOrDefault(account, new LocalUsage());
    AccountUse remote = remoteUsage.getOrDefault(account, AccountUse.getDefaultInstance());
    double demanded = Math.max(1, local.demanded + remote.getAsked());
    double atPresentRate = WINDOW_PER_RECENT * (local.recentlyDemanded + recentlyAsked(remote));
    double lastingPart = Math.max(0, Math.min(1, 2 - atPresentRate / demanded));
    return new Use(local.admitted + remote.getAdmitted(), lastingPart);
  }

  private Load load(double capacity) {
    double admitted = 0;
    double work = 0;
    double turnedAway = 0;
    for (AccountUse use : remoteUsage.values()) {
      admitted += use.getAdmitted();
      work += use.getWork();
      turnedAway += use.getTurnedAway();
    }
    for (LocalUsage use : localUsage.values()) {
      admitted += use.admitted;
      work += use.work;
      turnedAway += use.turnedAway;
    }
    double turnedAwayAtThisRate = WINDOW_PER_RECENT * turnedAway;
    return new Load(capacity, admitted, work, turnedAwayAtThisRate);
  }
}
