package org.toucansaddle.daemon.internal.relay;

import org.toucansaddle.daemon.internal.sharing.PooledRequest;

/** An admitted request until its final response. Implementations are thread-safe. */
interface RelayedRequest extends PooledRequest {

  /** Fails the request or cancels its attempt if a time limit has passed. */
  void checkTimeouts(long nowMillis);
}
