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
 * This router's queue and slots of one pool.
 *
 * <p>Thread-safe: a lock guards the scheduler; requests are started after it was released.
 */
public final class RouterPool {

  /** What the dispatcher is told of this pool. */
  record DemandSnapshot(
      long leaseEpoch,
      long leaseSequence,
      Map<Integer, AccountDemand> accounts,
      Map<String, SlotUsage> upstreams) {}

  /** Learns when the dispatcher should hear of a pool. Called from any thread. */
  interface Listener {
    /** The demand changed in a way that matters at once. */
    void onUrgentDemand(PoolKey key);

    /** Idle slots are held that another router wants. */
    void onIdleSlotsNeeded(PoolKey key);
  }

  private final PoolKey key;
  private final PoolScheduler<PooledRequest> scheduler;
  private final LongSupplier clock;
  private final Listener listener;
  private final Map<Integer, Integer> reportedWaiting = new HashMap<>();
  private final MeanSlotsInUse slotsInUse = new MeanSlotsInUse();
  private final ReentrantLock lock = new ReentrantLock();

  /**
   * Creates an empty pool.
   *
   * @param clock monotonic milliseconds
   * @param listener told when the dispatcher should hear of the pool
   */
  RouterPool(PoolKey key, SharingMode mode, LongSupplier clock, Listener listener) {
    this.key = key;
    this.scheduler = PoolScheduler.create(mode);
    this.clock = clock;
    this.listener = listener;
  }

  /** Returns the pool's key. */
  public PoolKey key() {
    return key;
  }

  /**
   * Queues a request; it is started as soon as a slot is free.
   *
   * <p>The dispatcher hears at once when an account's waiting requests have doubled since the last
   * demand.
   */
  public void submit(PooledRequest request) {
    List<SlotAssignment<PooledRequest>> assignments;
    boolean urgent;
    lock.lock();
    try {
      long now = clock.getAsLong();
      scheduler.enqueue(request);
      noteUse(request.account(), now);
      assignments = assign(now);
      urgent = hasDoubled(request.account());
    } finally {
      lock.unlock();
    }
    start(assignments);
    if (urgent) {
      listener.onUrgentDemand(key);
    }
  }

  private List<SlotAssignment<PooledRequest>> assign(long now) {
    List<SlotAssignment<PooledRequest>> assignments = scheduler.assign(now);
    for (SlotAssignment<PooledRequest> assignment : assignments) {
      noteUse(assignment.request().account(), now);
    }
    return assignments;
  }

  private void noteUse(int account, long now) {
    slotsInUse.update(account, scheduler.inFlight(account), scheduler.waiting(account) > 0, now);
  }

  private boolean hasDoubled(int account) {
    return scheduler.waiting(account) > 2 * reportedWaiting.getOrDefault(account, 0);
  }

  /** Removes a request from the queue; returns whether it was still waiting. */
  public boolean cancel(PooledRequest request) {
    lock.lock();
    try {
      boolean removed = scheduler.remove(request);
      noteUse(request.account(), clock.getAsLong());
      return removed;
    } finally {
      lock.unlock();
    }
  }

  /** Records that a request's use of its slot ended, and starts the next one there. */
  public void releaseSlot(PooledRequest request) {
    List<SlotAssignment<PooledRequest>> assignments;
    boolean wasOver;
    boolean idleWanted;
    lock.lock();
    try {
      long now = clock.getAsLong();
      wasOver = scheduler.finished(request);
      assignments = assign(now);
      noteUse(request.account(), now);
      idleWanted = scheduler.holdsWanted();
    } finally {
      lock.unlock();
    }
    start(assignments);
    if (wasOver) {
      listener.onUrgentDemand(key);
    } else if (idleWanted) {
      listener.onIdleSlotsNeeded(key);
    }
  }

  /** Adds service to an account. */
  public void addService(int account, long tokens) {
    lock.lock();
    try {
      scheduler.served(account, tokens);
    } finally {
      lock.unlock();
    }
  }

  /** Stops new work on an upstream until its next lease. */
  public void blockUpstream(String upstream) {
    lock.lock();
    try {
      scheduler.blockUpstream(upstream);
    } finally {
      lock.unlock();
    }
  }

  /** Starts waiting requests that may have become startable. */
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

  void applyLease(Lease lease) {
    List<SlotAssignment<PooledRequest>> assignments;
    List<PooledRequest> preempted;
    boolean urgent;
    lock.lock();
    try {
      long now = clock.getAsLong();
      boolean shrank = scheduler.applyLease(lease, now);
      assignments = assign(now);
      preempted = scheduler.preempt();
      urgent = scheduler.releaseWanted() || shrank;
    } finally {
      lock.unlock();
    }
    start(assignments);
    preempted.forEach(PooledRequest::preempt);
    if (urgent) {
      listener.onUrgentDemand(key);
    }
  }

  /** Gives up idle slots that another router wants; returns whether there were any. */
  boolean releaseIdleSlots() {
    lock.lock();
    try {
      return scheduler.releaseWanted();
    } finally {
      lock.unlock();
    }
  }

  void onDispatcherChanged() {
    lock.lock();
    try {
      scheduler.dispatcherChanged();
    } finally {
      lock.unlock();
    }
  }

  /** Returns how many requests of an account wait. */
  public int waitingCount(int account) {
    lock.lock();
    try {
      return scheduler.waiting(account);
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether a request waits. */
  boolean hasWaiting() {
    lock.lock();
    try {
      return scheduler.hasWaiting();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns how many slots an account uses here on average while its requests wait; nothing before
   * its first request ran.
   */
  public OptionalDouble meanSlotsInUse(int account) {
    lock.lock();
    try {
      return slotsInUse.hasUsedSlot(account)
          ? OptionalDouble.of(slotsInUse.mean(account, clock.getAsLong()))
          : OptionalDouble.empty();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the slots that this router uses or holds, by upstream. */
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

  /** Returns the view that a demand is made from, and remembers what it says. */
  DemandSnapshot snapshotForDemand() {
    lock.lock();
    try {
      DemandSnapshot view = snapshot();
      reportedWaiting.clear();
      view.accounts().forEach((account, d) -> reportedWaiting.put(account, d.waiting()));
      return view;
    } finally {
      lock.unlock();
    }
  }

  private static void start(List<SlotAssignment<PooledRequest>> assignments) {
    assignments.forEach(assignment -> assignment.request().start(assignment));
  }
}
