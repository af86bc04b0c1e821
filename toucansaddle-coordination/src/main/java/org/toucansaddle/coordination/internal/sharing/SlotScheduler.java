package org.toucansaddle.coordination.internal.sharing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.toucansaddle.coordination.sharing.AccountDemand;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.PoolScheduler;
import org.toucansaddle.coordination.sharing.SharingMode;
import org.toucansaddle.coordination.sharing.SlotAssignment;
import org.toucansaddle.coordination.sharing.SlotAssignment.Reason;
import org.toucansaddle.coordination.sharing.SlotRequest;
import org.toucansaddle.coordination.sharing.SlotUsage;

/**
 * Scheduler that serves the account furthest below its quota, relative to the quota, and starts its
 * request with the earliest deadline.
 *
 * <p>Work-conserving: if no waiting account is below its quota, the one with the least service gets
 * the slot. Not thread-safe.
 *
 * @param <R> type of request
 */
public final class SlotScheduler<R extends SlotRequest> implements PoolScheduler<R> {

  private static final int DEFAULT_QUOTA = 1;
  private static final int MIN_PREEMPTION_SLACK = 2;
  private static final int PREEMPTION_SLACK_DIVISOR = 4;

  private final SharingMode mode;
  private final Map<Integer, AccountQueue<R>> queues = new TreeMap<>();
  private final Map<Integer, Integer> inFlight = new HashMap<>();
  private final Map<Integer, Double> virtualService = new HashMap<>();
  private final Map<String, LeasedUpstream> leasedUpstreams = new TreeMap<>();
  private final Map<R, LeasedUpstream> running = new IdentityHashMap<>();
  private final Set<R> preempted = Collections.newSetFromMap(new IdentityHashMap<>());
  private Map<Integer, Integer> quotas = Map.of();
  private boolean contended;
  private long leaseEpoch;
  private long leaseSequence;
  private long leaseExpiresAtMillis = Long.MIN_VALUE;

  /** Creates an empty scheduler. */
  public SlotScheduler(SharingMode mode) {
    this.mode = mode;
  }

  @Override
  public void enqueue(R request) {
    if (running.containsKey(request)) {
      throw new IllegalStateException(
          "Request still holds a slot; call releaseSlot before enqueueing it again.");
    }
    int account = request.account();
    AccountQueue<R> queue = queues.computeIfAbsent(account, a -> new AccountQueue<>());
    if (queue.size() == 0 && inFlight(account) == 0) {
      raiseToLeastService(account);
    }
    queue.add(request);
  }

  /**
   * Raises an account that becomes active to the least service among the active ones, so that it
   * gains no credit from idling.
   */
  private void raiseToLeastService(int account) {
    double least =
        virtualService.entrySet().stream()
            .filter(e -> waiting(e.getKey()) + inFlight(e.getKey()) > 0)
            .mapToDouble(Map.Entry::getValue)
            .min()
            .orElse(0);
    virtualService.merge(account, least, Math::max);
  }

  @Override
  public boolean remove(R request) {
    AccountQueue<R> queue = queues.get(request.account());
    return queue != null && queue.remove(request);
  }

  @Override
  public boolean applyLease(Lease lease, long now) {
    boolean older = lease.epoch() == leaseEpoch && lease.sequence() < leaseSequence;
    if (older) {
      return false;
    }
    boolean renewal = lease.epoch() == leaseEpoch && lease.sequence() == leaseSequence;
    leaseExpiresAtMillis = now + lease.validMillis();
    if (renewal) {
      return false;
    }
    leaseEpoch = lease.epoch();
    leaseSequence = lease.sequence();
    contended = lease.contended();
    quotas = lease.quotas();
    return applySlots(lease);
  }

  private boolean applySlots(Lease lease) {
    lease.slots().keySet().stream()
        .filter(id -> !leasedUpstreams.containsKey(id))
        .forEach(id -> leasedUpstreams.put(id, new LeasedUpstream(lease.upstreams().get(id))));
    boolean slotsRevoked = false;
    for (Map.Entry<String, LeasedUpstream> entry : leasedUpstreams.entrySet()) {
      int slots = lease.slots().getOrDefault(entry.getKey(), 0);
      slotsRevoked |= slots < entry.getValue().slots();
      entry.getValue().updateLease(lease.upstreams().get(entry.getKey()), slots);
    }
    leasedUpstreams.values().removeIf(LeasedUpstream::isUnused);
    return slotsRevoked;
  }

  @Override
  public void resetLeaseEpoch() {
    leaseEpoch = 0;
    leaseSequence = 0;
  }

  @Override
  public void blockUpstream(String upstream) {
    LeasedUpstream leased = leasedUpstreams.get(upstream);
    if (leased != null) {
      leased.block();
    }
  }

  @Override
  public boolean releaseSlot(R request) {
    LeasedUpstream upstream = running.remove(request);
    boolean aboveLease = upstream.exceedsLease();
    preempted.remove(request);
    inFlight.merge(request.account(), -1, Integer::sum);
    upstream.releaseSlot();
    if (upstream.isUnused()) {
      leasedUpstreams.remove(upstream.info().id());
    }
    return aboveLease;
  }

  @Override
  public List<R> preempt() {
    if (mode == SharingMode.LOCAL || quotas.isEmpty()) {
      return List.of();
    }
    List<R> chosen = new ArrayList<>();
    for (LeasedUpstream upstream : leasedUpstreams.values()) {
      int aboveLease = upstream.inFlight() - upstream.slots() - countPreemptedOn(upstream);
      selectForPreemption(aboveLease, request -> running.get(request) == upstream, chosen);
    }
    selectForPreemption(
        countWaitingBelowQuota() - freeSlots() - preempted.size(), request -> true, chosen);
    return chosen;
  }

  private int countPreemptedOn(LeasedUpstream upstream) {
    return (int) preempted.stream().filter(request -> running.get(request) == upstream).count();
  }

  /** Returns how many waiting requests their accounts' quotas would allow to run. */
  private int countWaitingBelowQuota() {
    int count = 0;
    for (int account : waitingAccounts()) {
      count += Math.max(0, Math.min(waiting(account), quotaDeficit(account)));
    }
    return count;
  }

  /** Selects up to {@code count} requests of the accounts furthest above their quota. */
  private void selectForPreemption(int count, Predicate<R> eligible, List<R> chosen) {
    for (int remaining = count; remaining > 0; remaining--) {
      Optional<R> victim =
          running.keySet().stream()
              .filter(request -> !preempted.contains(request))
              .filter(request -> preemptibleExcess(request.account()) > 0)
              .filter(SlotRequest::isPreemptible)
              .filter(eligible)
              .max(Comparator.comparingInt(request -> preemptibleExcess(request.account())));
      if (victim.isEmpty()) {
        return;
      }
      preempted.add(victim.get());
      chosen.add(victim.get());
    }
  }

  /**
   * Returns how many requests of an account run above its quota and the slack.
   *
   * <p>Requests that are being preempted do not count, and an account without a quota has none.
   */
  private int preemptibleExcess(int account) {
    Integer quota = quotas.get(account);
    if (quota == null) {
      return 0;
    }
    long preempting = preempted.stream().filter(r -> r.account() == account).count();
    int slack = Math.max(MIN_PREEMPTION_SLACK, quota / PREEMPTION_SLACK_DIVISOR);
    return inFlight(account) - (int) preempting - quota - slack;
  }

  @Override
  public void addService(int account, long tokens) {
    virtualService.merge(account, (double) tokens, Double::sum);
  }

  @Override
  public List<SlotAssignment<R>> assign(long now) {
    List<SlotAssignment<R>> assignments = new ArrayList<>();
    if (now >= leaseExpiresAtMillis) {
      return assignments;
    }
    List<Integer> accounts = waitingAccounts();
    while (!accounts.isEmpty() && freeSlots() > 0) {
      int account = accounts.stream().min(startOrder()).orElseThrow();
      SlotAssignment<R> assignment = assignOne(account, accounts.size() - 1);
      if (assignment == null) {
        accounts.remove(Integer.valueOf(account));
        continue;
      }
      assignments.add(assignment);
      if (waiting(account) == 0) {
        accounts.remove(Integer.valueOf(account));
      }
    }
    return assignments;
  }

  private List<Integer> waitingAccounts() {
    List<Integer> accounts = new ArrayList<>();
    queues.forEach(
        (account, queue) -> {
          if (queue.size() > 0) {
            accounts.add(account);
          }
        });
    return accounts;
  }

  private Comparator<Integer> startOrder() {
    Comparator<Integer> leastService = Comparator.comparingDouble(this::virtualServiceOf);
    if (mode == SharingMode.LOCAL) {
      return leastService;
    }
    Comparator<Integer> furthestBelowQuota =
        Comparator.comparingDouble(account -> -Math.max(0, relativeQuotaDeficit(account)));
    return furthestBelowQuota.thenComparing(leastService);
  }

  private double virtualServiceOf(int account) {
    return virtualService.getOrDefault(account, 0.0);
  }

  private int quotaDeficit(int account) {
    return quotas.getOrDefault(account, DEFAULT_QUOTA) - inFlight(account);
  }

  /** Returns the quota deficit of an account relative to its quota; 1 if none of it is in use. */
  private double relativeQuotaDeficit(int account) {
    int quota = quotas.getOrDefault(account, DEFAULT_QUOTA);
    return (double) quotaDeficit(account) / Math.max(1, quota);
  }

  private int freeSlots() {
    return leasedUpstreams.values().stream().mapToInt(LeasedUpstream::freeSlots).sum();
  }

  private SlotAssignment<R> assignOne(int account, int skippedAccounts) {
    for (R request : queues.get(account).inDeadlineOrder()) {
      LeasedUpstream upstream = leastLoadedUpstream(request);
      if (upstream != null) {
        Reason reason = quotaDeficit(account) > 0 ? Reason.BELOW_QUOTA : Reason.LEAST_SERVICE;
        queues.get(account).remove(request);
        upstream.acquireSlot();
        running.put(request, upstream);
        inFlight.merge(account, 1, Integer::sum);
        return new SlotAssignment<>(request, upstream.info(), reason, skippedAccounts);
      }
    }
    return null;
  }

  private LeasedUpstream leastLoadedUpstream(R request) {
    Comparator<LeasedUpstream> mostFree = Comparator.comparingInt(LeasedUpstream::freeSlots);
    return leasedUpstreams.values().stream()
        .filter(upstream -> upstream.freeSlots() > 0 && request.canRunOn(upstream.info()))
        .max(mostFree)
        .orElse(null);
  }

  @Override
  public boolean holdsContendedSlots() {
    return contended && !hasWaiting() && freeSlots() > 0;
  }

  @Override
  public boolean releaseContendedSlots() {
    if (!holdsContendedSlots()) {
      return false;
    }
    boolean released = false;
    for (LeasedUpstream upstream : leasedUpstreams.values()) {
      released |= upstream.releaseIdleSlots();
    }
    leasedUpstreams.values().removeIf(LeasedUpstream::isUnused);
    return released;
  }

  @Override
  public boolean hasWaiting() {
    return queues.values().stream().anyMatch(queue -> queue.size() > 0);
  }

  @Override
  public int waiting(int account) {
    AccountQueue<R> queue = queues.get(account);
    return queue == null ? 0 : queue.size();
  }

  @Override
  public int inFlight(int account) {
    return inFlight.getOrDefault(account, 0);
  }

  @Override
  public Map<Integer, AccountDemand> accounts() {
    Map<Integer, AccountDemand> demands = new TreeMap<>();
    queues.forEach(
        (account, queue) -> {
          AccountDemand demand = new AccountDemand(queue.size(), inFlight(account));
          if (demand.total() > 0) {
            demands.put(account, demand);
          }
        });
    return demands;
  }

  @Override
  public Map<String, SlotUsage> upstreams() {
    Map<String, SlotUsage> usage = new TreeMap<>();
    leasedUpstreams.forEach((id, upstream) -> usage.put(id, upstream.usage()));
    return usage;
  }

  @Override
  public long leaseEpoch() {
    return leaseEpoch;
  }

  @Override
  public long leaseSequence() {
    return leaseSequence;
  }
}
