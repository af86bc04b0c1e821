package org.toucansaddle.daemon.internal.sharing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.PoolDispatcher;
import org.toucansaddle.coordination.sharing.RouterDemand;
import org.toucansaddle.coordination.sharing.SharingSettings;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.daemon.internal.logging.DecisionLog;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.protocol.generated.Announcement;
import org.toucansaddle.protocol.generated.Demand;
import org.toucansaddle.protocol.generated.SlotLease;

/** A pool dispatched by this daemon. Used on the control thread only. */
final class DispatchedPool {

  /** A lease and the router that gets it. */
  record AddressedLease(String router, SlotLease message) {}

  private final String pool;
  private final long epoch;
  private final PoolDispatcher dispatcher;
  private final LeaseWire wire;
  private boolean pollScheduled;

  DispatchedPool(String pool, SharingSettings settings, long epoch, long now) {
    this.pool = pool;
    this.epoch = epoch;
    this.dispatcher = PoolDispatcher.create(settings, epoch, now);
    this.wire = new LeaseWire(pool);
  }

  void announced(Announcement announcement, long heardAt) {
    dispatcher.announced(
        new UpstreamSlots(
            announcement.getId(),
            announcement.getIncarnation(),
            announcement.getAddress(),
            announcement.getZone(),
            announcement.getSlots(),
            announcement.getLeaving()),
        heardAt);
  }

  void demanded(PeerIdentity from, Demand demand, long now) {
    RouterDemand decoded = wire.decode(from, demand, epoch);
    DecisionLog.demanded(pool, decoded);
    dispatcher.demanded(decoded, now);
  }

  void setLive(Set<String> routers, long now) {
    dispatcher.setLiveRouters(routers, now);
  }

  List<AddressedLease> poll(long now) {
    List<AddressedLease> addressed = new ArrayList<>();
    for (Lease lease : dispatcher.poll(now)) {
      SlotLease message = wire.encode(lease);
      if (!message.getRenewal()) {
        DecisionLog.leased(pool, lease, dispatcher.serviceGap());
      }
      addressed.add(new AddressedLease(lease.router(), message));
    }
    return addressed;
  }

  boolean isPollScheduled() {
    return pollScheduled;
  }

  void setPollScheduled(boolean scheduled) {
    pollScheduled = scheduled;
  }

  double serviceGap() {
    return dispatcher.serviceGap();
  }
}
