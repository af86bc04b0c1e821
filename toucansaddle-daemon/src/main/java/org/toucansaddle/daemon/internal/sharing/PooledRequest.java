package org.toucansaddle.daemon.internal.sharing;

import org.toucansaddle.coordination.sharing.SlotAssignment;
import org.toucansaddle.coordination.sharing.SlotRequest;

/** A request that a pool queues and starts on a free slot. Implementations are thread-safe. */
public interface PooledRequest extends SlotRequest {

  /**
   * Preempts the request.
   *
   * <p>It releases its slot, is queued again and later resumes at its offset.
   */
  void preempt();

  /** Starts the request on the assigned slot; must not block. */
  void start(SlotAssignment<PooledRequest> assignment);
}
