package org.toucansaddle.coordination.internal.sharing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.toucansaddle.coordination.sharing.AccountDemand;
import org.toucansaddle.coordination.sharing.LagWeights;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.PoolDispatcher;
import org.toucansaddle.coordination.sharing.RouterDemand;
import org.toucansaddle.coordination.sharing.ServiceBalance;
import org.toucansaddle.coordination.sharing.SharingMode;
import org.toucansaddle.coordination.sharing.SharingSettings;
import org.toucansaddle.coordination.sharing.SlotPlan;
import org.toucansaddle.coordination.sharing.SlotPlanner;
import org.toucansaddle.coordination.sharing.UpstreamSlots;

/**
 * Dispatcher that plans quotas by account and revokes slots only when a router is below its target.
 *
 * <p>Keeps the invariant of {@link PoolDispatcher}. Times are in milliseconds of the caller's
 * clock. Not thread-safe.
 */
public final class SlotDispatcher implements PoolDispatcher {

  private static final long UPSTREAM_RETENTION_MILLIS = 60_000;
  private static final long ROUTER_RETENTION_MILLIS = 600_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private record AnnouncedUpstream(UpstreamSlots slots, long announcedAtMillis) {}

  private final SharingSettings settings;
  private final long epoch;
  private final long createdAtMillis;
  private final ServiceBalance balance;
  private final SlotThroughput throughput = new SlotThroughput();
  private final Map<String, AnnouncedUpstream> upstreams = new TreeMap<>();
  private final Map<String, RouterState> routers = new TreeMap<>();
  private final Map<String, Long> departedAtMillis = new HashMap<>();
  private Set<String> liveRouters = Set.of();
  private Set<String> members = Set.of();
  private PartitionShare share = new PartitionShare(0, 0);
  private SlotPlan plan = SlotPlan.empty();
  private Map<String, Map<Integer, AccountDemand>> plannedDemands = Map.of();
  private Map<String, Integer> targets = Map.of();
  private boolean planOutdated;
  private boolean slotsChanged;
  private boolean hasSpareSlots = true;
  private boolean contended;
  private long plannedAtMillis;
  private long takeoverStartedAtMillis;

  /** Creates a dispatcher without state; {@code epoch} is its incarnation. */
  public SlotDispatcher(SharingSettings settings, long epoch, long now) {
    this.settings = settings;
    this.epoch = epoch;
    this.createdAtMillis = now;
    this.takeoverStartedAtMillis = now;
    this.plannedAtMillis = now - settings.maxPlanIntervalMillis();
    this.balance = new ServiceBalance(settings.maxDeviationTokens());
  }

  @Override
  public void updateUpstream(UpstreamSlots upstream, long receivedAtMillis) {
    AnnouncedUpstream previous = upstreams.get(upstream.id());
    if (previous != null && previous.slots().incarnation() > upstream.incarnation()) {
      return;
    }
    boolean wasLeaving =
        previous != null
            && previous.slots().incarnation() == upstream.incarnation()
            && previous.slots().leaving();
    if (wasLeaving && !upstream.leaving()) {
      return;
    }
    long latest =
        previous == null
            ? receivedAtMillis
            : Math.max(previous.announcedAtMillis(), receivedAtMillis);
    planOutdated |= previous == null || !previous.slots().equals(upstream);
    upstreams.put(upstream.id(), new AnnouncedUpstream(upstream, latest));
  }

  @Override
  public void updateDemand(RouterDemand demand, long now) {
    RouterState router = routers.computeIfAbsent(demand.router(), RouterState::new);
    router.update(demand, epoch, now);
    balance.report(demand.router(), demand.incarnation(), demand.service());
    slotsChanged = true;
    planOutdated |= hasUnplannedDemand(demand);
  }

  @Override
  public void setLiveRouters(Set<String> names, long now) {
    planOutdated |= !names.equals(liveRouters);
    boolean returned =
        names.stream().anyMatch(name -> members.contains(name) && !liveRouters.contains(name));
    takeoverStartedAtMillis = returned ? now : takeoverStartedAtMillis;
    liveRouters = Set.copyOf(names);
    boolean removed =
        routers
            .values()
            .removeIf(
                router ->
                    !names.contains(router.name())
                        && now - router.lastDemandAtMillis() > settings.leaseMillis());
    planOutdated |= removed;
    names.forEach(departedAtMillis::remove);
    routers.keySet().forEach(departedAtMillis::remove);
    balance.routers().stream()
        .filter(name -> !names.contains(name) && !routers.containsKey(name))
        .forEach(name -> departedAtMillis.putIfAbsent(name, now));
  }

  @Override
  public void setMembers(Set<String> names) {
    members = Set.copyOf(names);
  }

  /**
   * Returns the share of this side of a partition.
   *
   * <p>In a new dispatcher all members count as reachable until each had time to send a demand.
   */
  private PartitionShare currentShare(long now) {
    if (now - createdAtMillis <= settings.routerTimeoutMillis()) {
      return new PartitionShare(members.size(), members.size());
    }
    int reachable = (int) members.stream().filter(name -> isReachable(name)).count();
    return new PartitionShare(reachable, members.size());
  }

  private void detectUnresponsiveRouters(long now) {
    for (RouterState router : routers.values()) {
      long sinceDemandMillis = now - router.lastDemandAtMillis();
      if (!router.isUnresponsive() && sinceDemandMillis > settings.routerTimeoutMillis()) {
        router.markUnresponsive();
        planOutdated = true;
      }
      if (sinceDemandMillis > settings.routerTimeoutMillis() + settings.leaseMillis()) {
        router.expireLeases();
      }
    }
  }

  /** Returns whether a router is live and, if it sent a demand for this pool, responsive. */
  private boolean isReachable(String name) {
    RouterState router = routers.get(name);
    boolean unresponsive = router != null && router.isUnresponsive();
    return !unresponsive && liveRouters.contains(name);
  }

  /**
   * Totals are kept for a while, so that service during a partition counts when a router returns.
   */
  private void evictDepartedRouters(long now) {
    departedAtMillis.forEach(
        (name, departedAt) -> {
          if (now - departedAt > ROUTER_RETENTION_MILLIS) {
            balance.removeRouter(name);
          }
        });
    departedAtMillis.keySet().retainAll(balance.routers());
  }

  @Override
  public List<Lease> poll(long now) {
    detectUnresponsiveRouters(now);
    PartitionShare next = currentShare(now);
    planOutdated |= !next.equals(share);
    share = next;
    boolean due = planOutdated && now - plannedAtMillis >= settings.minPlanIntervalMillis();
    if (due || now - plannedAtMillis >= settings.maxPlanIntervalMillis()) {
      replan(now);
    } else if (slotsChanged) {
      grantFreeSlots(now);
    }
    return leasesToSend(now);
  }

  /**
   * Returns whether an account demands more at a router than planned and a new plan may grant it.
   *
   * <p>An account whose quota is below its planned demand is already limited to its fair share.
   */
  private boolean hasUnplannedDemand(RouterDemand demand) {
    Map<Integer, AccountDemand> planned = plannedDemands.getOrDefault(demand.router(), Map.of());
    return demand.accounts().entrySet().stream()
        .anyMatch(
            entry -> {
              int account = entry.getKey();
              int before = planned.getOrDefault(account, AccountDemand.NONE).total();
              boolean more = entry.getValue().waiting() > 0 && entry.getValue().total() > before;
              return more && plan.accountTotal(account) >= plannedDemand(account);
            });
  }

  private int plannedDemand(int account) {
    return plannedDemands.values().stream()
        .mapToInt(demands -> demands.getOrDefault(account, AccountDemand.NONE).total())
        .sum();
  }

  @Override
  public Collection<UpstreamSlots> usableUpstreams(long now) {
    List<UpstreamSlots> usable = new ArrayList<>();
    for (AnnouncedUpstream upstream : upstreams.values()) {
      boolean unresponsive = now - upstream.announcedAtMillis() > settings.upstreamTimeoutMillis();
      if (!unresponsive && !upstream.slots().leaving()) {
        usable.add(upstream.slots());
      }
    }
    return usable;
  }

  @Override
  public int waiting() {
    return routers.values().stream().mapToInt(router -> router.demand().waiting()).sum();
  }

  @Override
  public int inFlight() {
    return routers.values().stream()
        .flatMap(router -> router.accounts().values().stream())
        .mapToInt(AccountDemand::inFlight)
        .sum();
  }

  @Override
  public double serviceGap() {
    return balance.gap();
  }

  private void replan(long now) {
    planOutdated = false;
    plannedAtMillis = now;
    evictDepartedRouters(now);
    upstreams
        .values()
        .removeIf(upstream -> now - upstream.announcedAtMillis() > UPSTREAM_RETENTION_MILLIS);
    Map<String, UpstreamSlots> usable = usableById(now);
    revokeUnusable(usable.keySet());
    revokeAboveShare(usable.values());
    int capacity = usable.values().stream().mapToInt(u -> share.allowedSlots(u.slots())).sum();
    plan = settings.mode() == SharingMode.FLEET ? planByAccount(capacity, now) : SlotPlan.empty();
    targets = computeTargets(capacity);
    contended = isContended();
    shrinkToTargets(targets);
    grantFreeSlots(now);
  }

  private Map<String, UpstreamSlots> usableById(long now) {
    Map<String, UpstreamSlots> usable = new LinkedHashMap<>();
    usableUpstreams(now).forEach(upstream -> usable.put(upstream.id(), upstream));
    return usable;
  }

  /**
   * Grants free slots by the plan, then to routers with waiting requests. The rest is spread only
   * if the slots are not contended, because a router would release an idle contended slot at once.
   */
  private void grantFreeSlots(long now) {
    slotsChanged = false;
    contended |= isContended();
    if (!canGrant(now)) {
      return;
    }
    SlotGrants grants = new SlotGrants(routers.values(), usableUpstreams(now), share);
    if (settings.mode() == SharingMode.FLEET) {
      grants.grantUpTo(demandLimitedTargets());
      grants.grantUpTo(demandTargets());
    }
    if (!contended) {
      grants.grantUpTo(targets);
    }
  }

  /** Returns each router's target, limited to the slots it demands now. */
  private Map<String, Integer> demandLimitedTargets() {
    Map<String, Integer> limited = new TreeMap<>();
    for (RouterState router : routers.values()) {
      int target = targets.getOrDefault(router.name(), 0);
      limited.put(router.name(), Math.min(target, router.demandedSlots()));
    }
    return limited;
  }

  /** Returns targets that grant each router a slot for every waiting request. */
  private Map<String, Integer> demandTargets() {
    Map<String, Integer> demanded = new TreeMap<>();
    routers.values().forEach(r -> demanded.put(r.name(), r.leasedTotal() + r.ungrantedWaiting()));
    return demanded;
  }

  private void revokeUnusable(Set<String> usable) {
    for (RouterState router : routers.values()) {
      List.copyOf(router.leasedByUpstream().keySet()).stream()
          .filter(id -> !usable.contains(id))
          .forEach(id -> router.setLeasedSlots(id, 0));
    }
  }

  /** Revokes slots above this side's share, from the router with the most leases first. */
  private void revokeAboveShare(Collection<UpstreamSlots> usable) {
    for (UpstreamSlots upstream : usable) {
      String id = upstream.id();
      int leased = routers.values().stream().mapToInt(router -> router.leasedSlots(id)).sum();
      for (int over = leased - share.allowedSlots(upstream.slots()); over > 0; over--) {
        RouterState largest =
            routers.values().stream()
                .max(Comparator.comparingInt(router -> router.leasedSlots(id)))
                .orElseThrow();
        largest.setLeasedSlots(id, largest.leasedSlots(id) - 1);
      }
    }
  }

  private SlotPlan planByAccount(int capacity, long now) {
    Map<String, Map<Integer, AccountDemand>> demands = new TreeMap<>();
    routers.values().forEach(router -> demands.put(router.name(), router.accounts()));
    plannedDemands = demands;
    Set<Integer> backlogged = backloggedAccounts();
    balance.setBacklogged(backlogged);
    int inFlight = 0;
    for (RouterState router : routers.values()) {
      inFlight += router.accounts().values().stream().mapToInt(AccountDemand::inFlight).sum();
    }
    throughput.addSample(balance.totalTokens(), inFlight, now);
    LagWeights weights =
        new LagWeights(
            capacity,
            backlogged.size(),
            throughput.tokensPerSlotSecond(),
            settings.catchUpSeconds());
    Map<Integer, Double> unreported = unreportedService(now);
    return SlotPlanner.plan(
        capacity,
        demands,
        weights.computeWeights(
            account -> balance.lag(account, a -> unreported.getOrDefault(a, 0.0))));
  }

  /** Estimates the service given since each router's last demand, from its requests in flight. */
  private Map<Integer, Double> unreportedService(long now) {
    Map<Integer, Double> tokens = new HashMap<>();
    for (RouterState router : routers.values()) {
      double seconds = (now - router.lastDemandAtMillis()) / MILLIS_PER_SECOND;
      double tokensPerSlot = seconds * throughput.tokensPerSlotSecond();
      router
          .accounts()
          .forEach(
              (account, demand) ->
                  tokens.merge(account, demand.inFlight() * tokensPerSlot, Double::sum));
    }
    return tokens;
  }

  private Set<Integer> backloggedAccounts() {
    Set<Integer> accounts = new HashSet<>();
    for (RouterState router : routers.values()) {
      router
          .accounts()
          .forEach(
              (account, demand) -> {
                if (demand.waiting() > 0) {
                  accounts.add(account);
                }
              });
    }
    return accounts;
  }

  /** Returns how many slots each router should have; slots beyond the demand are spread evenly. */
  private Map<String, Integer> computeTargets(int capacity) {
    Map<String, Integer> targets = new TreeMap<>();
    routers.keySet().forEach(name -> targets.put(name, plan.routerTotal(name)));
    int spare = capacity - targets.values().stream().mapToInt(t -> t).sum();
    hasSpareSlots = spare > 0;
    if (spare > 0 && !targets.isEmpty()) {
      int each = spare / targets.size();
      targets.replaceAll((name, target) -> target + each);
    }
    return targets;
  }

  /** Revokes slots above the targets, but only if a router is below its own. */
  private void shrinkToTargets(Map<String, Integer> targets) {
    boolean anyBelowTarget =
        routers.values().stream().anyMatch(r -> r.leasedTotal() < targets.get(r.name()));
    if (!anyBelowTarget) {
      return;
    }
    for (RouterState router : routers.values()) {
      for (int over = router.leasedTotal() - targets.get(router.name()); over > 0; over--) {
        revokeOne(router);
      }
    }
  }

  /** Revokes one slot, of the upstream with the most idle slots first. */
  private void revokeOne(RouterState router) {
    Comparator<String> byIdle = Comparator.comparingInt(id -> router.usage(id).idle());
    String chosen =
        router.leasedByUpstream().keySet().stream()
            .max(byIdle.thenComparingInt(router::leasedSlots))
            .orElseThrow();
    router.setLeasedSlots(chosen, router.leasedSlots(chosen) - 1);
  }

  /**
   * Returns whether slots may be granted. A new dispatcher, or one that routers return to, first
   * waits until it knows every lease of the other one, or until those leases have expired and a
   * partitioned dispatcher has revoked the slots above its share.
   */
  private boolean canGrant(long now) {
    boolean allResponsive =
        !liveRouters.isEmpty()
            && routers.keySet().containsAll(liveRouters)
            && routers.values().stream().noneMatch(RouterState::isUnresponsive);
    boolean allMembersLive = liveRouters.containsAll(members);
    return (allResponsive && allMembersLive)
        || now - takeoverStartedAtMillis > settings.takeoverDelayMillis();
  }

  /**
   * Returns new and changed leases, and renewals that are due.
   *
   * <p>A slot that a router released and that is granted again needs a new lease, although its
   * terms equal those of the last one. A change of quotas alone waits for the next renewal.
   */
  private List<Lease> leasesToSend(long now) {
    List<Lease> leases = new ArrayList<>();
    for (RouterState router : routers.values()) {
      if (!liveRouters.contains(router.name()) || router.isUnresponsive()) {
        continue;
      }
      Lease next = createLease(router, contended);
      Lease last = router.lastSentLease();
      boolean same = last != null && next.hasSameTermsAs(last) && !router.hasReleasedSlots();
      boolean onlyQuotasChanged =
          last != null
              && next.slots().equals(last.slots())
              && next.contended() == last.contended()
              && !router.hasReleasedSlots();
      long sinceSentMillis = now - router.lastSentAtMillis();
      boolean due = sinceSentMillis >= settings.renewalIntervalMillis();
      boolean send = last == null || due || (!same && !onlyQuotasChanged);
      if (send) {
        long sequence = same ? last.sequence() : router.nextSequence();
        Lease numbered = withSequence(next, sequence);
        router.recordSent(numbered, now);
        leases.add(numbered);
      }
    }
    return leases;
  }

  /** Returns whether requests wait while the plan uses every slot. */
  private boolean isContended() {
    return settings.mode() == SharingMode.FLEET
        && !hasSpareSlots
        && routers.values().stream().anyMatch(r -> r.demand().waiting() > 0);
  }

  /** Creates a lease without the slots a router holds on upstreams not announced here yet. */
  private Lease createLease(RouterState router, boolean contended) {
    Map<String, UpstreamSlots> announced = new HashMap<>();
    Map<String, Integer> slots = new HashMap<>(router.leasedByUpstream());
    slots.keySet().retainAll(upstreams.keySet());
    slots.keySet().forEach(id -> announced.put(id, upstreams.get(id).slots()));
    Map<Integer, Integer> quotas = plan.quotas().getOrDefault(router.name(), Map.of());
    return new Lease(
        router.name(), epoch, 0, settings.leaseMillis(), contended, slots, announced, quotas);
  }

  private static Lease withSequence(Lease lease, long sequence) {
    return new Lease(
        lease.router(),
        lease.epoch(),
        sequence,
        lease.validMillis(),
        lease.contended(),
        lease.slots(),
        lease.upstreams(),
        lease.quotas());
  }
}
