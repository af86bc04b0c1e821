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

/**
 * A pool whose slots this daemon leases to routers as its dispatcher.
 *
 * <p>Not thread-safe: used on the control thread only.
 */
final class DispatchedPool {

  /** A lease message and the router to send it to. */
  record AddressedLease(String router, SlotLease message) {}

  private static final long NOT_BACKLOGGED = Long.MAX_VALUE;
  private static final int MAX_MOVABLE_UPSTREAMS = 2;

  private final String pool;
  private final long epoch;
  private final PoolDispatcher dispatcher;
  private final DispatcherSharingCodec codec;
  private final Map<String, Announcement> announcements = new TreeMap<>();
  private boolean pollScheduled;
  private long backloggedSinceMillis = NOT_BACKLOGGED;

  DispatchedPool(String pool, SharingSettings settings, long epoch, long nowMillis) {
    this.pool = pool;
    this.epoch = epoch;
    this.dispatcher = PoolDispatcher.create(settings, epoch, nowMillis);
    this.codec = new DispatcherSharingCodec(pool);
  }

  /** Updates an upstream from an announcement received at {@code receivedAtMillis}. */
  void updateUpstream(Announcement announcement, long receivedAtMillis) {
    announcements.put(announcement.getId(), announcement);
    dispatcher.updateUpstream(
        new UpstreamSlots(
            announcement.getId(),
            announcement.getIncarnation(),
            announcement.getAddress(),
            announcement.getZone(),
            announcement.getSlots(),
            announcement.getLeaving()),
        receivedAtMillis);
  }

  /** Updates the demand of a router. */
  void updateDemand(PeerIdentity router, Demand demand, long nowMillis) {
    RouterDemand decoded = codec.decode(router, demand, epoch);
    DecisionLog.demanded(pool, decoded);
    dispatcher.updateDemand(decoded, nowMillis);
  }

  /**
   * Sets the members to which slots can be leased.
   *
   * @param liveNames names of the live members
   * @param memberNames names of all members that may be serving, including those that cannot be
   *     reached
   */
  void setMembers(Set<String> liveNames, Set<String> memberNames, long nowMillis) {
    dispatcher.setLiveRouters(liveNames, nowMillis);
    dispatcher.setMembers(memberNames);
  }

  /** Returns the leases to send now: changed ones, and renewals that are due. */
  List<AddressedLease> pollLeases(long nowMillis) {
    List<AddressedLease> leases = new ArrayList<>();
    for (Lease lease : dispatcher.poll(nowMillis)) {
      SlotLease message = codec.encode(lease);
      if (!message.getRenewal()) {
        DecisionLog.leased(pool, lease, dispatcher.serviceGap());
      }
      leases.add(new AddressedLease(lease.router(), message));
    }
    return leases;
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

  /**
   * Creates the report of the pool's load for the control replicas.
   *
   * <p>It lists as movable the upstreams that can load other models and run the fewest requests.
   */
  PoolReport createReport(long nowMillis) {
    Set<String> usableIds =
        dispatcher.usableUpstreams(nowMillis).stream().map(UpstreamSlots::id).collect(toSet());
    announcements.keySet().retainAll(usableIds);
    backloggedSinceMillis =
        dispatcher.waiting() == 0 ? NOT_BACKLOGGED : Math.min(backloggedSinceMillis, nowMillis);
    PoolReport.Builder report =
        PoolReport.newBuilder()
            .setPool(pool)
            .setUpstreams(usableIds.size())
            .setInFlight(dispatcher.inFlight())
            .setBackloggedMillis((int) Math.max(0, nowMillis - backloggedSinceMillis));
    announcements
        .values()
        .forEach(announcement -> report.setSlots(report.getSlots() + announcement.getSlots()));
    announcements.values().stream()
        .filter(announcement -> announcement.getLoadableCount() > 0)
        .sorted(Comparator.comparingInt(Announcement::getRunning))
        .limit(MAX_MOVABLE_UPSTREAMS)
        .forEach(report::addMovable);
    return report.build();
  }

  /** Returns the largest difference of service between two backlogged accounts, in tokens. */
  double serviceGap() {
    return dispatcher.serviceGap();
  }
}
