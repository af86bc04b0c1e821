package org.toucansaddle.daemon.internal.request;

import org.toucansaddle.protocol.generated.ClaimOutcome;

/** The claim that a non-idempotent call holds. Implementations are thread-safe. */
public interface IdempotencyClaim {

  /** Gives the claim back, because no byte of the call was sent and none will be. */
  void release();

  /** Records that the call may have run and its outcome is lost. */
  void markOutcomeUnknown();

  /** Records the call's answer. */
  void recordOutcome(ClaimOutcome.Builder outcome);
}
