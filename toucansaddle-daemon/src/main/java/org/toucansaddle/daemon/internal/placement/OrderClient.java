package org.toucansaddle.daemon.internal.placement;

import java.util.concurrent.CompletableFuture;
import org.toucansaddle.protocol.generated.PlacementOrder;

/** Brings an order to an upstream. */
@FunctionalInterface
interface OrderClient {

  /** What became of an order. */
  enum Reply {
    /** The upstream follows the order. */
    ACCEPTED,
    /** The upstream has seen a higher fencing number. */
    FENCED,
    /** The upstream refused the order for another reason. */
    REFUSED
  }

  /** Sends an order; the future fails if no answer arrives. */
  CompletableFuture<Reply> send(String address, PlacementOrder order, long fencing);
}
