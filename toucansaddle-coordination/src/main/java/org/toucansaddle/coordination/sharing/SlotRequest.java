package org.toucansaddle.coordination.sharing;

/** A request that waits for a slot. Its answers must not change while it waits, but mayUse. */
public interface SlotRequest {

  /** Returns the number of the account that pays. */
  int account();

  /** Returns when the answer is due, in milliseconds of the scheduler's clock. */
  long deadlineMillis();

  /** Returns whether the request may run on an upstream now. */
  boolean mayUse(UpstreamSlots upstream);
}
