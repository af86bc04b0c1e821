package org.toucansaddle.daemon.internal.sharing;

import java.util.Map;
import java.util.Optional;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.daemon.internal.sharing.RouterPool.DemandSnapshot;
import org.toucansaddle.protocol.generated.Demand;
import org.toucansaddle.protocol.generated.SlotLease;

/**
 * Sends the demands of one pool to its dispatcher, and applies the leases that come back.
 *
 * <p>Not thread-safe: used on the control thread only.
 */
final class DemandSender {

  private final RouterPool pool;
  private final RouterSharingCodec codec;
  private String dispatcher = "";

  /** Time of the last demand; initially so far in the past that differences do not overflow. */
  private long lastSentAtMillis = Long.MIN_VALUE / 2;

  private boolean sendScheduled;

  DemandSender(RouterPool pool, String router) {
    this.pool = pool;
    this.codec = new RouterSharingCodec(pool.key().text(), router);
  }

  RouterPool pool() {
    return pool;
  }

  /**
   * Sets the dispatcher that demands are sent to.
   *
   * @return whether it differs from the previous one, so that it needs a full demand
   */
  boolean setDispatcher(String newDispatcher) {
    if (newDispatcher.equals(dispatcher)) {
      return false;
    }
    dispatcher = newDispatcher;
    codec.reset();
    pool.onDispatcherChanged();
    return true;
  }

  /** Returns the next demand, which the caller must send now. */
  Demand nextDemand(Map<Integer, Long> serviceTotals, long nowMillis) {
    lastSentAtMillis = nowMillis;
    return codec.encode(pool.snapshotForDemand(), serviceTotals);
  }

  /** Applies a lease; returns false if it cannot be decoded, so that a full one is needed. */
  boolean applyLease(SlotLease message) {
    DemandSnapshot snapshot = pool.snapshot();
    Optional<Lease> lease = codec.decode(message, snapshot);
    lease.ifPresent(pool::applyLease);
    return lease.isPresent();
  }

  long lastSentAtMillis() {
    return lastSentAtMillis;
  }

  boolean isSendScheduled() {
    return sendScheduled;
  }

  void setSendScheduled(boolean isSendScheduled) {
    sendScheduled = isSendScheduled;
  }
}
