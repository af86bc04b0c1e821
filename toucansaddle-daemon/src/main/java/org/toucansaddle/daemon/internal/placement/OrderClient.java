package org.toucansaddle.daemon.internal.placement;

import java.util.concurrent.CompletableFuture;
import org.toucansaddle.protocol.generated.PlacementOrder;

/** Sends placement orders to upstreams. Implementations are thread-safe. */
@FunctionalInterface
interface OrderClient {

  /** An upstream's reply to an order. */
  enum Reply {
    /** The upstream accepted the order. */
    ACCEPTED,
    /** The upstream has received a higher fencing token. */
    FENCED,
    /** The upstream refused the order for another reason. */
    REFUSED
  }

  /** Sends an order; the future fails if no reply arrives in time. */
  CompletableFuture<Reply> send(String address, PlacementOrder order, long fencingToken);
}
