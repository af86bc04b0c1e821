package org.toucansaddle.daemon.internal.request;

import org.toucansaddle.protocol.generated.ClaimOutcome;

/**
 * The claim that a non-idempotent call holds on its idempotency key.
 *
 * <p>Each method ends the claim. Implementations are thread-safe.
 */
public interface IdempotencyClaim {

  /** Releases the claim, because no byte of the call was sent and none will be. */
  void release();

  /** Records that the call may have run and that its outcome is unknown. */
  void markOutcomeUnknown();

  /** Records the call's answer, with which repetitions of the call are answered. */
  void recordOutcome(ClaimOutcome.Builder outcome);
}
