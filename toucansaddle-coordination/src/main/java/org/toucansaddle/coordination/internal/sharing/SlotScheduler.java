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
 * Scheduler that starts the account that lacks the largest part of its quota, earliest deadline
 * first.
 *
 * <p>Work conserving: if no waiting account is below its quota, the one with the least service gets
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
  private long leaseExpiresAt = Long.MIN_VALUE;

  /** Creates an empty scheduler. */
  public SlotScheduler(SharingMode mode) {
    this.mode = mode;
  }

  @Override
  public void enqueue(R request) {
    if (running.containsKey(request)) {
      throw new IllegalStateException(
          "The request still holds a slot. Call finished before it is queued again.");
    }
    int account = request.account();
    AccountQueue<R> queue = queues.computeIfAbsent(account, a -> new AccountQueue<>());
    if (queue.size() == 0 && inFlight(account) == 0) {
      raiseToLeastService(account);
    }
    queue.add(request);
  }

  /** An account that was not active starts at the least service of the active ones. */
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
    leaseExpiresAt = now + lease.validMillis();
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
    boolean shrank = false;
    for (Map.Entry<String, LeasedUpstream> entry : leasedUpstreams.entrySet()) {
      int slots = lease.slots().getOrDefault(entry.getKey(), 0);
      shrank |= slots < entry.getValue().slots();
      entry.getValue().updateLease(lease.upstreams().get(entry.getKey()), slots);
    }
    leasedUpstreams.values().removeIf(LeasedUpstream::isUnused);
    return shrank;
  }

  @Override
  public void resetLeaseEpoch() {
    leaseEpoch = 0;
    leaseSequence = 0;
  }

  @Override
  public void blockUpstream(String upstream) {
    LeasedUpstream slots = leasedUpstreams.get(upstream);
    if (slots != null) {
      slots.block();
    }
  }

  @Override
  public boolean releaseSlot(R request) {
    LeasedUpstream slots = running.remove(request);
    boolean over = slots.exceedsLease();
    preempted.remove(request);
    inFlight.merge(request.account(), -1, Integer::sum);
    slots.releaseSlot();
    if (slots.isUnused()) {
      leasedUpstreams.remove(slots.info().id());
    }
    return over;
  }

  @Override
  public List<R> preempt() {
    if (mode == SharingMode.LOCAL || quotas.isEmpty()) {
      return List.of();
    }
    List<R> chosen = new ArrayList<>();
    for (LeasedUpstream slots : leasedUpstreams.values()) {
      int over = slots.inFlight() - slots.slots() - countPreemptedOn(slots);
      selectForPreemption(over, request -> running.get(request) == slots, chosen);
    }
    selectForPreemption(
        countWaitingBelowQuota() - freeSlots() - preempted.size(), request -> true, chosen);
    return chosen;
  }

  private int countPreemptedOn(LeasedUpstream slots) {
    return (int) preempted.stream().filter(request -> running.get(request) == slots).count();
  }

  /** Returns how many waiting requests belong to accounts below their quota. */
  private int countWaitingBelowQuota() {
    int needed = 0;
    for (int account : waitingAccounts()) {
      needed += Math.max(0, Math.min(waiting(account), quotaDeficit(account)));
    }
    return needed;
  }

  private void selectForPreemption(int count, Predicate<R> test, List<R> chosen) {
    for (int left = count; left > 0; left--) {
      Optional<R> victim =
          running.keySet().stream()
              .filter(request -> !preempted.contains(request))
              .filter(request -> preemptibleExcess(request.account()) > 0)
              .filter(SlotRequest::isPreemptible)
              .filter(test)
              .max(Comparator.comparingInt(request -> preemptibleExcess(request.account())));
      if (victim.isEmpty()) {
        return;
      }
      preempted.add(victim.get());
      chosen.add(victim.get());
    }
  }

  /** Returns how many requests of an account run above its quota and the slack. */
  private int preemptibleExcess(int account) {
    Integer quota = quotas.get(account);
    if (quota == null) {
      return 0;
    }
    long stopping = preempted.stream().filter(r -> r.account() == account).count();
    int slack = Math.max(MIN_PREEMPTION_SLACK, quota / PREEMPTION_SLACK_DIVISOR);
    return inFlight(account) - (int) stopping - quota - slack;
  }

  @Override
  public void addService(int account, long tokens) {
    virtualService.merge(account, (double) tokens, Double::sum);
  }

  @Override
  public List<SlotAssignment<R>> assign(long now) {
    List<SlotAssignment<R>> assignments = new ArrayList<>();
    if (now >= leaseExpiresAt) {
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

  /** Returns the part of its quota that an account lacks; 1 if nothing of it runs. */
  private double relativeQuotaDeficit(int account) {
    int quota = quotas.getOrDefault(account, DEFAULT_QUOTA);
    return (double) quotaDeficit(account) / Math.max(1, quota);
  }

  private int freeSlots() {
    return leasedUpstreams.values().stream().mapToInt(LeasedUpstream::freeSlots).sum();
  }

  private SlotAssignment<R> assignOne(int account, int passedOver) {
    for (R request : queues.get(account).inDeadlineOrder()) {
      LeasedUpstream slots = leastLoadedUpstream(request);
      if (slots != null) {
        Reason reason = quotaDeficit(account) > 0 ? Reason.BELOW_QUOTA : Reason.LEAST_SERVICE;
        queues.get(account).remove(request);
        slots.acquireSlot();
        running.put(request, slots);
        inFlight.merge(account, 1, Integer::sum);
        return new SlotAssignment<>(request, slots.info(), reason, passedOver);
      }
    }
    return null;
  }

  private LeasedUpstream leastLoadedUpstream(R request) {
    Comparator<LeasedUpstream> mostFree = Comparator.comparingInt(LeasedUpstream::freeSlots);
    return leasedUpstreams.values().stream()
        .filter(slots -> slots.freeSlots() > 0 && request.canRunOn(slots.info()))
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
    boolean any = false;
    for (LeasedUpstream slots : leasedUpstreams.values()) {
      any |= slots.releaseIdleSlots();
    }
    leasedUpstreams.values().removeIf(LeasedUpstream::isUnused);
    return any;
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
    leasedUpstreams.forEach((id, slots) -> usage.put(id, slots.usage()));
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
