package org.toucansaddle.daemon.internal.sharing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.sharing.AccountDemand;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.PoolScheduler;
import org.toucansaddle.coordination.sharing.SharingMode;
import org.toucansaddle.coordination.sharing.SlotAssignment;
import org.toucansaddle.coordination.sharing.SlotUsage;

/**
 * The queue and the leased slots of one pool at this router.
 *
 * <p>Thread-safe: a lock guards the scheduler. Requests are started and listeners are called after
 * the lock has been released.
 */
public final class RouterPool {

  /** State of this pool that a demand reports to the dispatcher. */
  record DemandSnapshot(
      long leaseEpoch,
      long leaseSequence,
      Map<Integer, AccountDemand> accounts,
      Map<String, SlotUsage> upstreams) {}

  /** Receives the events that the dispatcher needs to know early. Called from any thread. */
  interface Listener {
    /** Called when the demand has changed so much that it should be sent at once. */
    void onUrgentDemand(PoolKey key);

    /** Called when this router holds idle slots that another router needs. */
    void onIdleSlotsNeeded(PoolKey key);
  }

  private final PoolKey key;
  private final PoolScheduler<PooledRequest> scheduler;
  private final LongSupplier clock;
  private final Listener listener;
  private final Map<Integer, Integer> reportedWaitingCounts = new HashMap<>();
  private final MeanSlotsInUse meanSlotsInUse = new MeanSlotsInUse();
  private final ReentrantLock lock = new ReentrantLock();

  /**
   * Creates an empty pool.
   *
   * @param clock monotonic time in milliseconds
   * @param listener receives the events of the pool
   */
  RouterPool(PoolKey key, SharingMode mode, LongSupplier clock, Listener listener) {
    this.key = key;
    this.scheduler = PoolScheduler.create(mode);
    this.clock = clock;
    this.listener = listener;
  }

  public PoolKey key() {
    return key;
  }

  /**
   * Queues a request; it is started as soon as a slot is free.
   *
   * <p>The listener is called when an account's waiting requests have more than doubled since the
   * last demand.
   */
  public void submit(PooledRequest request) {
    List<SlotAssignment<PooledRequest>> assignments;
    boolean urgent;
    lock.lock();
    try {
      long nowMillis = clock.getAsLong();
      scheduler.enqueue(request);
      updateMeanSlotsInUse(request.account(), nowMillis);
      assignments = assign(nowMillis);
      urgent = hasWaitingDoubled(request.account());
    } finally {
      lock.unlock();
    }
    start(assignments);
    if (urgent) {
      listener.onUrgentDemand(key);
    }
  }

  private List<SlotAssignment<PooledRequest>> assign(long nowMillis) {
    List<SlotAssignment<PooledRequest>> assignments = scheduler.assign(nowMillis);
    for (SlotAssignment<PooledRequest> assignment : assignments) {
      updateMeanSlotsInUse(assignment.request().account(), nowMillis);
    }
    return assignments;
  }

  private void updateMeanSlotsInUse(int account, long nowMillis) {
    meanSlotsInUse.update(
        account, scheduler.inFlight(account), scheduler.waiting(account) > 0, nowMillis);
  }

  private boolean hasWaitingDoubled(int account) {
    return scheduler.waiting(account) > 2 * reportedWaitingCounts.getOrDefault(account, 0);
  }

  /** Removes a request from the queue; returns whether it was still waiting. */
  public boolean cancel(PooledRequest request) {
    lock.lock();
    try {
      boolean removed = scheduler.remove(request);
      updateMeanSlotsInUse(request.account(), clock.getAsLong());
      return removed;
    } finally {
      lock.unlock();
    }
  }

  /** Releases the slot of a request, and starts waiting requests on free slots. */
  public void releaseSlot(PooledRequest request) {
    List<SlotAssignment<PooledRequest>> assignments;
    boolean wasAboveLease;
    boolean idleSlotsNeeded;
    lock.lock();
    try {
      long nowMillis = clock.getAsLong();
      wasAboveLease = scheduler.releaseSlot(request);
      assignments = assign(nowMillis);
      updateMeanSlotsInUse(request.account(), nowMillis);
      idleSlotsNeeded = scheduler.holdsContendedSlots();
    } finally {
      lock.unlock();
    }
    start(assignments);
    if (wasAboveLease) {
      listener.onUrgentDemand(key);
    } else if (idleSlotsNeeded) {
      listener.onIdleSlotsNeeded(key);
    }
  }

  /** Adds service in tokens to an account. */
  public void addService(int account, long tokens) {
    lock.lock();
    try {
      scheduler.addService(account, tokens);
    } finally {
      lock.unlock();
    }
  }

  /** Blocks new requests to an upstream until its next lease. */
  public void blockUpstream(String upstream) {
    lock.lock();
    try {
      scheduler.blockUpstream(upstream);
    } finally {
      lock.unlock();
    }
  }

  /** Starts waiting requests that have become able to run on a free slot. */
  public void assignWaiting() {
    List<SlotAssignment<PooledRequest>> assignments;
    lock.lock();
    try {
      assignments = assign(clock.getAsLong());
    } finally {
      lock.unlock();
    }
    start(assignments);
  }

  /** Applies a lease, then starts and preempts requests according to it. */
  void applyLease(Lease lease) {
    List<SlotAssignment<PooledRequest>> assignments;
    List<PooledRequest> preempted;
    boolean urgent;
    lock.lock();
    try {
      long nowMillis = clock.getAsLong();
      boolean wasReduced = scheduler.applyLease(lease, nowMillis);
      assignments = assign(nowMillis);
      preempted = scheduler.preempt();
      urgent = scheduler.releaseContendedSlots() || wasReduced;
    } finally {
      lock.unlock();
    }
    start(assignments);
    preempted.forEach(PooledRequest::preempt);
    if (urgent) {
      listener.onUrgentDemand(key);
    }
  }

  /** Releases idle slots that another router needs; returns whether there were any. */
  boolean releaseIdleSlots() {
    lock.lock();
    try {
      return scheduler.releaseContendedSlots();
    } finally {
      lock.unlock();
    }
  }

  /** Clears the epoch of the last lease, because another dispatcher has taken over. */
  void onDispatcherChanged() {
    lock.lock();
    try {
      scheduler.resetLeaseEpoch();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of waiting requests of an account. */
  public int waitingCount(int account) {
    lock.lock();
    try {
      return scheduler.waiting(account);
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether any request waits. */
  boolean hasWaiting() {
    lock.lock();
    try {
      return scheduler.hasWaiting();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the mean number of slots that an account uses at this router while its requests wait.
   *
   * <p>The result is empty before its first request has run.
   */
  public OptionalDouble meanSlotsInUse(int account) {
    lock.lock();
    try {
      return meanSlotsInUse.hasUsedSlot(account)
          ? OptionalDouble.of(meanSlotsInUse.mean(account, clock.getAsLong()))
          : OptionalDouble.empty();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the slots that this router uses or holds, by upstream id. */
  public Map<String, SlotUsage> slotUsage() {
    return snapshot().upstreams();
  }

  DemandSnapshot snapshot() {
    lock.lock();
    try {
      return new DemandSnapshot(
          scheduler.leaseEpoch(),
          scheduler.leaseSequence(),
          scheduler.accounts(),
          scheduler.upstreams());
    } finally {
      lock.unlock();
    }
  }

  /** Returns the snapshot for a demand, and records the waiting requests as reported. */
  DemandSnapshot snapshotForDemand() {
    lock.lock();
    try {
      DemandSnapshot snapshot = snapshot();
      reportedWaitingCounts.clear();
      snapshot
          .accounts()
          .forEach((account, demand) -> reportedWaitingCounts.put(account, demand.waiting()));
      return snapshot;
    } finally {
      lock.unlock();
    }
  }

  private static void start(List<SlotAssignment<PooledRequest>> assignments) {
    assignments.forEach(assignment -> assignment.request().start(assignment));
  }
}
