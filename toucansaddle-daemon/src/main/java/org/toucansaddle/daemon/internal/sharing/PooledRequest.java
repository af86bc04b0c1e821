package org.toucansaddle.daemon.internal.sharing;

import org.toucansaddle.coordination.sharing.SlotAssignment;
import org.toucansaddle.coordination.sharing.SlotRequest;

/** A request that a pool starts when a slot is free. Implementations are thread-safe. */
public interface PooledRequest extends SlotRequest {

  /** Stops the request's use of its slot; it queues again and continues at its offset. */
  void preempt();

  /** Starts the request on the slot it got; must not block. */
  void start(SlotAssignment<PooledRequest> assignment);
}
