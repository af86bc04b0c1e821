package org.toucansaddle.coordination.sharing;

import java.util.List;
import java.util.Map;
import org.toucansaddle.coordination.internal.sharing.SlotScheduler;

/**
 * Queue of one pool's requests at a router, and the slots that the router holds in the pool.
 *
 * <pre>{@code
 * scheduler.enqueue(request);
 * scheduler.assign(now).forEach(assignment -> start(assignment));
 * ...
 * scheduler.releaseSlot(request);
 * scheduler.assign(now).forEach(assignment -> start(assignment));
 * }</pre>
 *
 * <p>Invariants: a request is assigned at most once for each time it is enqueued; no assignment is
 * made on a lease that has expired. Times are in milliseconds of the caller's clock. Not
 * thread-safe.
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
   * Applies a lease; one older than the last is ignored.
   *
   * @return whether it revoked slots; the caller should then send a demand at once, so that the
   *     dispatcher can grant them to others
   */
  boolean applyLease(Lease lease, long now);

  /** Clears the epoch and sequence of the last lease, because another dispatcher took over. */
  void resetLeaseEpoch();

  /** Assigns no more requests to an unreachable upstream until its next changed lease. */
  void blockUpstream(String upstream);

  /**
   * Releases the slot that a request was assigned, whatever its outcome.
   *
   * @return whether the slot was above the lease; the caller should then send a demand at once, so
   *     that the dispatcher can grant it to others
   */
  boolean releaseSlot(R request);

  /**
   * Selects running requests to preempt, so that accounts below their quota get their slots.
   *
   * <p>Only requests of accounts well above their quota are selected, each at most once, and no
   * more than there are slots to free for waiting requests or to release to the dispatcher.
   */
  List<R> preempt();

  /**
   * Adds service that this router gave an account in any pool.
   *
   * @param tokens tokens processed for the account
   */
  void addService(int account, long tokens);

  /** Returns the requests that can start now, each with its slot. */
  List<SlotAssignment<R>> assign(long now);

  /** Returns whether idle slots are held while the pool is contended. */
  boolean holdsContendedSlots();

  /** Releases idle slots if the pool is contended; returns whether there were any. */
  boolean releaseContendedSlots();

  /** Returns whether a request waits. */
  boolean hasWaiting();

  /** Returns the number of waiting requests of an account. */
  int waiting(int account);

  /** Returns the number of requests in flight of an account. */
  int inFlight(int account);

  /** Returns the demand by account number. */
  Map<Integer, AccountDemand> accounts();

  /** Returns the slots used or held by upstream id. */
  Map<String, SlotUsage> upstreams();

  /** Returns the epoch of the last lease applied. */
  long leaseEpoch();

  /** Returns the sequence number of the last lease applied. */
  long leaseSequence();
}
