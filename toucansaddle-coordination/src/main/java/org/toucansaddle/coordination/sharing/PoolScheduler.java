package org.toucansaddle.coordination.sharing;

import java.util.List;
import java.util.Map;
import org.toucansaddle.coordination.internal.sharing.SlotScheduler;

/**
 * A router's queue of one pool and the slots it holds there.
 *
 * <pre>{@code
 * scheduler.enqueue(request);
 * scheduler.assign(now).forEach(assignment -> start(assignment));
 * ...
 * scheduler.finished(request);
 * scheduler.assign(now).forEach(assignment -> start(assignment));
 * }</pre>
 *
 * <p>Invariants: a request is assigned at most once for each time it is enqueued; no assignment is
 * made on a lease that has expired. Not thread-safe.
 *
 * @param <R> type of request
 */
public interface PoolScheduler<R extends SlotRequest> {

  /** Creates an empty scheduler. */
  static <R extends SlotRequest> PoolScheduler<R> create(SharingMode mode) {
    return new SlotScheduler<>(mode);
  }

  /**
   * Adds a request to the queue.
   *
   * @throws IllegalStateException if it still holds a slot; call {@link #releaseSlot} first
   */
  void enqueue(R request);

  /** Removes a waiting request; returns whether it was waiting. */
  boolean remove(R request);

  /**
   * Takes a lease; one older than the last is ignored.
   *
   * @return whether it took slots away, so that the dispatcher should hear at once that others may
   *     have them
   */
  boolean applyLease(Lease lease, long now);

  /** Forgets the epoch of the last lease, because another dispatcher took over. */
  void resetLeaseEpoch();

  /** Blocks new work on an upstream until its next lease, because it cannot be reached. */
  void blockUpstream(String upstream);

  /**
   * Records that a request ended its use of the slot it was assigned.
   *
   * @return whether the slot was above the lease, so that the dispatcher should hear at once that
   *     it is free
   */
  boolean releaseSlot(R request);

  /**
   * Returns running requests to stop, so that their slots go to accounts further behind.
   *
   * <p>Only requests of accounts well above their quota are named, each once, and no more than the
   * slots that are needed here or are to be given back.
   */
  List<R> preempt();

  /** Adds service to an account that this router gave in any pool, in tokens. */
  void addService(int account, long tokens);

  /** Returns the requests that can start now, each with its slot. */
  List<SlotAssignment<R>> assign(long now);

  /** Returns whether idle slots are held that another router wants. */
  boolean holdsContendedSlots();

  /** Gives up idle slots if another router wants them; returns whether there were any. */
  boolean releaseContendedSlots();

  /** Returns whether a request waits. */
  boolean hasWaiting();

  /** Returns the number of waiting requests of an account. */
  int waiting(int account);

  /** Returns the number of running requests of an account. */
  int inFlight(int account);

  /** Returns demand by account number. */
  Map<Integer, AccountDemand> accounts();

  /** Returns slots used or held by upstream id. */
  Map<String, SlotUsage> upstreams();

  /** Returns the epoch of the last lease applied. */
  long leaseEpoch();

  /** Returns the sequence number of the last lease applied. */
  long leaseSequence();
}
