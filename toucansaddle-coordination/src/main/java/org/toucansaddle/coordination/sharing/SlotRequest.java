package org.toucansaddle.coordination.sharing;

/** A request that needs a slot. Its account and deadline never change. */
public interface SlotRequest {

  /** Returns the number of the account that the request is charged to. */
  int account();

  /** Returns when the answer is due, in milliseconds of the scheduler's clock. */
  long deadlineMillis();

  /** Returns whether the request could be stopped now and resumed later at its offset. */
  boolean isPreemptible();

  /** Returns whether the request may run on an upstream now. */
  boolean canRunOn(UpstreamSlots upstream);
}
