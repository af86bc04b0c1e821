package org.toucansaddle.daemon.internal.sharing;

import java.util.Map;
import java.util.Optional;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.daemon.internal.sharing.RouterPool.DemandSnapshot;
import org.toucansaddle.protocol.generated.Demand;
import org.toucansaddle.protocol.generated.SlotLease;

/** Demands of one pool towards its dispatcher. Used on the control thread only. */
final class DemandSender {

  private final RouterPool pool;
  private final RouterSharingCodec wire;
  private String dispatcher = "";
  private long sentAt = Long.MIN_VALUE / 2;
  private boolean scheduled;

  DemandSender(RouterPool pool, String router) {
    this.pool = pool;
    this.wire = new RouterSharingCodec(pool.key().text(), router);
  }

  RouterPool pool() {
    return pool;
  }

  /** Turns to a dispatcher; returns whether it is another one than before. */
  boolean setDispatcher(String name) {
    if (name.equals(dispatcher)) {
      return false;
    }
    dispatcher = name;
    wire.reset();
    pool.onDispatcherChanged();
    return true;
  }

  /** Returns the demand to send now. */
  Demand nextDemand(Map<Integer, Long> service, long now) {
    sentAt = now;
    return wire.encode(pool.snapshotForDemand(), service);
  }

  /** Applies a lease; returns false if the dispatcher must send it in full. */
  boolean applyLease(SlotLease message) {
    DemandSnapshot view = pool.snapshot();
    Optional<Lease> lease = wire.decode(message, view);
    lease.ifPresent(pool::applyLease);
    return lease.isPresent();
  }

  long lastSentAtMillis() {
    return sentAt;
  }

  boolean isSendScheduled() {
    return scheduled;
  }

  void setSendScheduled(boolean isScheduled) {
    scheduled = isScheduled;
  }
}
