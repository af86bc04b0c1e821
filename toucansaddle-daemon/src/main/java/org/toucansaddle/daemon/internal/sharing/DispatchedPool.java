package org.toucansaddle.daemon.internal.sharing;

import static java.util.stream.Collectors.toSet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.toucansaddle.coordination.sharing.Lease;
import org.toucansaddle.coordination.sharing.PoolDispatcher;
import org.toucansaddle.coordination.sharing.RouterDemand;
import org.toucansaddle.coordination.sharing.SharingSettings;
import org.toucansaddle.coordination.sharing.UpstreamSlots;
import org.toucansaddle.daemon.internal.logging.DecisionLog;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.protocol.generated.Announcement;
import org.toucansaddle.protocol.generated.Demand;
import org.toucansaddle.protocol.generated.PoolReport;
import org.toucansaddle.protocol.generated.SlotLease;

/** A pool dispatched by this daemon. Used on the control thread only. */
final class DispatchedPool {

  /** A lease and the router that gets it. */
  record AddressedLease(String router, SlotLease message) {}

  private static final long NOT_BACKLOGGED = Long.MAX_VALUE;
  private static final int MAX_MOVABLE = 2;

  private final String pool;
  private final long epoch;
  private final PoolDispatcher dispatcher;
  private final DispatcherSharingCodec wire;
  private final Map<String, Announcement> announcements = new TreeMap<>();
  private boolean pollScheduled;
  private long backloggedSince = NOT_BACKLOGGED;

  DispatchedPool(String pool, SharingSettings settings, long epoch, long now) {
    this.pool = pool;
    this.epoch = epoch;
    this.dispatcher = PoolDispatcher.create(settings, epoch, now);
    this.wire = new DispatcherSharingCodec(pool);
  }

  void updateUpstream(Announcement announcement, long heardAt) {
    announcements.put(announcement.getId(), announcement);
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

  void updateDemand(PeerIdentity from, Demand demand, long now) {
    RouterDemand decoded = wire.decode(from, demand, epoch);
    DecisionLog.demanded(pool, decoded);
    dispatcher.demanded(decoded, now);
  }

  void setMembers(Set<String> live, Set<String> roster, long now) {
    dispatcher.setLiveRouters(live, now);
    dispatcher.setRoster(roster);
  }

  List<AddressedLease> pollLeases(long now) {
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

  boolean isModelPool() {
    return PoolKey.modelName(pool).isPresent();
  }

  /** Returns what the control replicas need to know of the pool. */
  PoolReport createReport(long now) {
    Set<String> usable =
        dispatcher.usableUpstreams(now).stream().map(UpstreamSlots::id).collect(toSet());
    announcements.keySet().retainAll(usable);
    backloggedSince = dispatcher.waiting() == 0 ? NOT_BACKLOGGED : Math.min(backloggedSince, now);
    PoolReport.Builder report =
        PoolReport.newBuilder()
            .setPool(pool)
            .setUpstreams(usable.size())
            .setInFlight(dispatcher.inFlight())
            .setBackloggedMillis((int) Math.max(0, now - backloggedSince));
    announcements.values().forEach(a -> report.setSlots(report.getSlots() + a.getSlots()));
    announcements.values().stream()
        .filter(a -> a.getLoadableCount() > 0)
        .sorted(Comparator.comparingInt(Announcement::getRunning))
        .limit(MAX_MOVABLE)
        .forEach(report::addMovable);
    return report.build();
  }

  double serviceGap() {
    return dispatcher.serviceGap();
  }
}
