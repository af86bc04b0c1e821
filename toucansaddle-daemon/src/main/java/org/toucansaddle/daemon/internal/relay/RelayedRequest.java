package org.toucansaddle.daemon.internal.relay;

import org.toucansaddle.daemon.internal.sharing.PooledRequest;

/** A request between admission and its final answer. Implementations are thread-safe. */
interface RelayedRequest extends PooledRequest {

  /** Ends the request, or its attempt, if a time limit has passed. */
  void checkTimeouts(long nowMillis);
}
