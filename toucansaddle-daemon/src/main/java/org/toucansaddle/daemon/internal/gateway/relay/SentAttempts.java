package org.toucansaddle.daemon.internal.gateway.relay;

import org.toucansaddle.daemon.internal.problem.RunState;

/**
 * Attempts of one call that were sent to upstreams.
 *
 * <p>Each one may have run the request, or may still run it, unless its upstream has said that it
 * did not: a cancelled or lost attempt counts like one under way. Confined to the call's I/O
 * thread.
 */
final class SentAttempts {

  private int sent;
  private int notRun;

  /** Records an attempt of which the upstream may receive a part from now on. */
  void recordSent() {
    sent++;
  }

  /** Records that the upstream of an attempt said that it did not run the request. */
  void recordNotRun() {
    notRun++;
  }

  int count() {
    return sent;
  }

  RunState runState() {
    return sent == notRun ? RunState.NOT_RUN : RunState.UNKNOWN;
  }
}
