package org.toucansaddle.daemon.internal.sharing;

import java.util.Map;
import java.util.Optional;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.daemon.internal.sharing.RouterPool.DemandView;
import org.toucansaddle.protocol.generated.Demand;
import org.toucansaddle.protocol.generated.SlotLease;

/** Demands of one pool towards its dispatcher. Used on the control thread only. */
final class DemandSender {

  private final RouterPool pool;
  private final DemandWire wire;
  private String dispatcher = "";
  private long sentAt = Long.MIN_VALUE / 2;
  private boolean scheduled;

  DemandSender(RouterPool pool, String router) {
    this.pool = pool;
    this.wire = new DemandWire(pool.key().text(), router);
  }

  RouterPool pool() {
    return pool;
  }

  /** Turns to a dispatcher; returns whether it is another one than before. */
  boolean useDispatcher(String name) {
    if (name.equals(dispatcher)) {
      return false;
    }
    dispatcher = name;
    wire.dispatcherChanged();
    pool.dispatcherChanged();
    return true;
  }

  /** Returns the demand to send now. */
  Demand next(Map<Integer, Long> service, long now) {
    sentAt = now;
    return wire.encode(pool.viewForDemand(), service);
  }

  /** Applies a lease; returns false if the dispatcher must send it in full. */
  boolean apply(SlotLease message) {
    DemandView view = pool.view();
    Optional<Lease> lease = wire.decode(message, view);
    lease.ifPresent(pool::applyLease);
    return lease.isPresent();
  }

  long sentAt() {
    return sentAt;
  }

  boolean isScheduled() {
    return scheduled;
  }

  void setScheduled(boolean isScheduled) {
    scheduled = isScheduled;
  }
}
