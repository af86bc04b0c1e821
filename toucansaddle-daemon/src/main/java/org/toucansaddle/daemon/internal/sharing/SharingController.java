package org.toucansaddle.daemon.internal.sharing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.toucansaddle.coordination.membership.Member;
import org.toucansaddle.coordination.sharing.SharingSettings;
import org.toucansaddle.daemon.internal.control.FleetDirectory;
import org.toucansaddle.daemon.internal.peer.PeerClients;
import org.toucansaddle.daemon.internal.peer.PeerIdentity;
import org.toucansaddle.protocol.generated.Announcement;
import org.toucansaddle.protocol.generated.AnnouncementBatch;
import org.toucansaddle.protocol.generated.Demand;
import org.toucansaddle.protocol.generated.PeerMessage;
import org.toucansaddle.protocol.generated.PoolReport;
import org.toucansaddle.protocol.generated.SlotLease;

/**
 * Exchanges demands and leases between this router's pools and their dispatchers, and runs the
 * dispatchers of the pools that this daemon is selected for.
 *
 * <p>Methods must be called on the control thread unless their comment allows any thread. The pools
 * and the announcements may be read from any thread; all other state is confined to the control
 * thread.
 */
public final class SharingController {

  private static final int WAITING_DEMAND_INTERVAL_MILLIS = 1_000;
  private static final int IDLE_DEMAND_INTERVAL_MILLIS = 1_500;
  private static final int MIN_URGENT_DEMAND_INTERVAL_MILLIS = 20;
  private static final int IDLE_SLOT_GRACE_MILLIS = 10;
  private static final int MAX_ANNOUNCEMENT_DELAY_MILLIS = 600;
  private static final int REPORT_INTERVAL_MILLIS = 2_500;

  /** Time for which a dead member still counts as a member, because it may only be unreachable. */
  private static final long DEAD_MEMBER_RETENTION_MILLIS = 600_000;

  private final PeerIdentity self;
  private final SharingSettings settings;
  private final FleetDirectory directory;
  private final PeerClients peerClients;
  private final ServiceCounters serviceCounters;
  private final ScheduledExecutorService controlExecutor;
  private final LongSupplier clock;
  private final Consumer<PoolReport> reportConsumer;
  private final Map<PoolKey, RouterPool> pools = new ConcurrentHashMap<>();
  private final Map<String, DemandSender> demandSenders = new TreeMap<>();
  private final Map<String, DispatchedPool> dispatchedPools = new TreeMap<>();
  private final Map<String, AnnouncementBatcher> announcementBatchers = new HashMap<>();
  private final Map<Integer, Announcement> announcementsByHash = new ConcurrentHashMap<>();
  private final Map<String, Announcement> latestAnnouncements = new ConcurrentHashMap<>();
  private final Map<String, Long> deadSinceMillis = new HashMap<>();
  private long lastReportAtMillis;

  /**
   * Creates a controller.
   *
   * @param controlExecutor the control thread; must run one task at a time
   * @param clock monotonic time in milliseconds
   * @param reportConsumer receives the reports of the pools dispatched by this daemon, if it is a
   *     control replica
   */
  public SharingController(
      PeerIdentity self,
      SharingSettings settings,
      FleetDirectory directory,
      PeerClients peerClients,
      ServiceCounters serviceCounters,
      ScheduledExecutorService controlExecutor,
      LongSupplier clock,
      Consumer<PoolReport> reportConsumer) {
    this.self = self;
    this.settings = settings;
    this.directory = directory;
    this.peerClients = peerClients;
    this.serviceCounters = serviceCounters;
    this.controlExecutor = controlExecutor;
    this.clock = clock;
    this.reportConsumer = reportConsumer;
  }

  /**
   * Returns this router's pool of a key and creates it if needed. May be called from any thread.
   */
  public RouterPool pool(PoolKey key) {
    return pools.computeIfAbsent(
        key, k -> new RouterPool(k, settings.mode(), clock, new PoolListener()));
  }

  /** Returns this router's pools. May be called from any thread. */
  public Collection<RouterPool> pools() {
    return pools.values();
  }

  /**
   * Returns the last announcement of each upstream that has announced itself to this daemon.
   *
   * <p>May be called from any thread.
   */
  public Collection<Announcement> announcements() {
    return latestAnnouncements.values();
  }

  /** Handles the events of pools on the control thread. */
  private final class PoolListener implements RouterPool.Listener {
    @Override
    public void onUrgentDemand(PoolKey key) {
      controlExecutor.execute(
          () -> findSender(key.text()).ifPresent(SharingController.this::sendDemandSoon));
    }

    /** Keeps idle slots for a grace period, because they are often used again at once. */
    @Override
    public void onIdleSlotsNeeded(PoolKey key) {
      controlExecutor.schedule(
          () ->
              findSender(key.text())
                  .filter(sender -> sender.pool().releaseIdleSlots())
                  .ifPresent(SharingController.this::sendDemandSoon),
          IDLE_SLOT_GRACE_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  private Optional<DemandSender> findSender(String pool) {
    for (RouterPool candidate : pools.values()) {
      if (candidate.key().text().equals(pool)) {
        return Optional.of(
            demandSenders.computeIfAbsent(pool, p -> new DemandSender(candidate, self.name())));
      }
    }
    return Optional.empty();
  }

  private void sendDemandSoon(DemandSender sender) {
    if (sender.isSendScheduled()) {
      return;
    }
    long delayMillis =
        sender.lastSentAtMillis() + MIN_URGENT_DEMAND_INTERVAL_MILLIS - clock.getAsLong();
    if (delayMillis <= 0) {
      sendDemand(sender);
      return;
    }
    sender.setSendScheduled(true);
    controlExecutor.schedule(() -> sendDemand(sender), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void sendDemand(DemandSender sender) {
    sendDemand(sender, true);
  }

  private void sendDemand(DemandSender sender, boolean urgent) {
    sender.setSendScheduled(false);
    Optional<Member> dispatcher =
        DispatcherSelector.select(sender.pool().key().text(), directory.liveMembers());
    if (dispatcher.isEmpty()) {
      return;
    }
    sender.setDispatcher(dispatcher.get().name());
    Demand demand = sender.nextDemand(serviceCounters.totals(), clock.getAsLong());
    if (dispatcher.get().name().equals(self.name())) {
      onDemand(self, demand);
    } else {
      sendAnnouncements(dispatcher.get().address(), clock.getAsLong());
      PeerMessage message = PeerMessage.newBuilder().setDemand(demand).build();
      send(dispatcher.get().address(), message, urgent);
    }
  }

  /** Handles a router's demand for a pool that this daemon dispatches; ignores other pools. */
  public void onDemand(PeerIdentity from, Demand demand) {
    DispatchedPool pool = dispatchedPools.get(demand.getPool());
    if (pool == null) {
      if (!isDispatcherOf(demand.getPool())) {
        return;
      }
      pool = startDispatching(demand.getPool());
    }
    pool.updateDemand(from, demand, clock.getAsLong());
    sendLeases(pool);
    schedulePoll(pool);
  }

  /**
   * Schedules a poll for when the next plan is allowed, so that a change that came too soon after
   * the last plan is included without delay.
   */
  private void schedulePoll(DispatchedPool pool) {
    if (!pool.isPollScheduled()) {
      pool.setPollScheduled(true);
      controlExecutor.schedule(
          () -> {
            pool.setPollScheduled(false);
            sendLeases(pool);
          },
          settings.minPlanIntervalMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Handles a lease.
   *
   * <p>A lease from a daemon that is not the pool's dispatcher is ignored. If the lease cannot be
   * decoded, the next demand makes the dispatcher send it in full.
   */
  public void onLease(PeerIdentity from, SlotLease lease) {
    Optional<DemandSender> sender = findSender(lease.getPool());
    boolean fromDispatcher =
        DispatcherSelector.select(lease.getPool(), directory.liveMembers())
            .filter(member -> member.name().equals(from.name()))
            .isPresent();
    if (sender.isEmpty() || !fromDispatcher) {
      return;
    }
    sender.get().setDispatcher(from.name());
    if (!sender.get().applyLease(lease)) {
      sendDemandSoon(sender.get());
    }
  }

  /** Handles an announcement from an upstream. May be called from any thread. */
  public void onAnnouncement(Announcement announcement) {
    controlExecutor.execute(() -> forwardAnnouncement(announcement));
  }

  private void forwardAnnouncement(Announcement announcement) {
    latestAnnouncements.put(announcement.getPool() + "|" + announcement.getId(), announcement);
    PoolKey key = new PoolKey(announcement.getKind(), announcement.getPool());
    if (announcement.getLeaving()) {
      pool(key).blockUpstream(announcement.getId());
    }
    long nowMillis = clock.getAsLong();
    DispatcherSelector.select(key.text(), directory.liveMembers())
        .ifPresent(
            dispatcher -> {
              String address = dispatcher.address();
              boolean changed =
                  announcementBatchers
                      .computeIfAbsent(address, a -> new AnnouncementBatcher())
                      .add(announcement, nowMillis);
              if (changed || dispatcher.name().equals(self.name())) {
                sendAnnouncements(address, nowMillis);
              }
            });
  }

  private void sendAnnouncements(String address, long nowMillis) {
    AnnouncementBatcher batcher = announcementBatchers.get(address);
    if (batcher == null || batcher.isEmpty()) {
      return;
    }
    AnnouncementBatch batch = batcher.drain(nowMillis);
    if (address.equals(self.address())) {
      onAnnouncements(self, batch);
    } else {
      PeerMessage message = PeerMessage.newBuilder().setAnnouncements(batch).build();
      send(address, message, batch.getChangedCount() > 0);
    }
  }

  /**
   * Handles a batch of announcements from another daemon.
   *
   * <p>The batch may also name hashes that the other daemon could not resolve; their announcements
   * are sent to it in full next time. Hashes that this daemon cannot resolve are returned likewise.
   */
  public void onAnnouncements(PeerIdentity from, AnnouncementBatch batch) {
    if (batch.getUnknownCount() > 0) {
      announcementBatchers
          .computeIfAbsent(from.address(), a -> new AnnouncementBatcher())
          .resendInFull(batch.getUnknownList());
    }
    long nowMillis = clock.getAsLong();
    for (Announcement announcement : batch.getChangedList()) {
      announcementsByHash.put(AnnouncementBatcher.contentHash(announcement), announcement);
      applyAnnouncement(announcement, nowMillis - announcement.getAgeMillis());
    }
    AnnouncementBatch.Builder unknown = AnnouncementBatch.newBuilder();
    for (int hash : batch.getUnchangedList()) {
      Announcement announcement = announcementsByHash.get(hash);
      if (announcement == null) {
        unknown.addUnknown(hash);
      } else {
        applyAnnouncement(announcement, nowMillis - batch.getAgeMillis());
      }
    }
    if (unknown.getUnknownCount() == 0) {
      return;
    }
    if (from.address().equals(self.address())) {
      announcementBatchers.get(self.address()).resendInFull(unknown.getUnknownList());
    } else {
      peerClients.send(from.address(), PeerMessage.newBuilder().setAnnouncements(unknown).build());
    }
  }

  private void applyAnnouncement(Announcement announcement, long receivedAtMillis) {
    PoolKey key = new PoolKey(announcement.getKind(), announcement.getPool());
    DispatchedPool pool = dispatchedPools.get(key.text());
    if (pool == null && isDispatcherOf(key.text())) {
      pool = startDispatching(key.text());
    }
    if (pool != null) {
      pool.updateUpstream(announcement, receivedAtMillis);
      sendLeases(pool);
    }
  }

  private boolean isDispatcherOf(String pool) {
    return DispatcherSelector.select(pool, directory.liveMembers())
        .filter(member -> member.name().equals(self.name()))
        .isPresent();
  }

  private DispatchedPool startDispatching(String pool) {
    DispatchedPool created =
        new DispatchedPool(pool, settings, System.currentTimeMillis(), clock.getAsLong());
    dispatchedPools.put(pool, created);
    created.setMembers(liveNames(), memberNames(), clock.getAsLong());
    return created;
  }

  /**
   * Returns the members that may be serving, including those that this daemon may be cut off from.
   *
   * <p>A member that left is not among them, nor is one that has been dead for long.
   */
  private Set<String> memberNames() {
    long nowMillis = clock.getAsLong();
    return directory.members().stream()
        .filter(member -> member.state() != Member.State.LEFT)
        .filter(
            member ->
                nowMillis - deadSinceMillis.getOrDefault(member.name(), nowMillis)
                    <= DEAD_MEMBER_RETENTION_MILLIS)
        .map(Member::name)
        .collect(Collectors.toSet());
  }

  private void updateMembers(long nowMillis) {
    for (Member member : directory.members()) {
      if (member.state() == Member.State.DEAD) {
        deadSinceMillis.putIfAbsent(member.name(), nowMillis);
      } else {
        deadSinceMillis.remove(member.name());
      }
    }
    Set<String> liveNames = liveNames();
    Set<String> memberNames = memberNames();
    dispatchedPools.values().forEach(pool -> pool.setMembers(liveNames, memberNames, nowMillis));
  }

  private Set<String> liveNames() {
    return directory.liveMembers().stream().map(Member::name).collect(Collectors.toSet());
  }

  private void send(String address, PeerMessage message, boolean urgent) {
    if (urgent) {
      peerClients.send(address, message);
    } else {
      peerClients.sendDeferred(address, message);
    }
  }

  private void sendLeases(DispatchedPool pool) {
    for (DispatchedPool.AddressedLease lease : pool.pollLeases(clock.getAsLong())) {
      if (lease.router().equals(self.name())) {
        onLease(self, lease.message());
        continue;
      }
      PeerMessage message = PeerMessage.newBuilder().setLease(lease.message()).build();
      boolean renewal = lease.message().getRenewal();
      directory.findAddress(lease.router()).ifPresent(address -> send(address, message, !renewal));
    }
  }

  /** Sends reports of the pools dispatched by this daemon to the control replicas. */
  private void sendReports(long nowMillis) {
    if (nowMillis - lastReportAtMillis < REPORT_INTERVAL_MILLIS) {
      return;
    }
    lastReportAtMillis = nowMillis;
    updateMembers(nowMillis);
    List<Member> replicas = directory.liveMembers().stream().filter(Member::control).toList();
    for (DispatchedPool pool : dispatchedPools.values()) {
      if (!pool.isModelPool()) {
        continue;
      }
      PoolReport report = pool.createReport(nowMillis);
      for (Member replica : replicas) {
        if (replica.name().equals(self.name())) {
          reportConsumer.accept(report);
        } else {
          PeerMessage message = PeerMessage.newBuilder().setPoolReport(report).build();
          peerClients.sendDeferred(replica.address(), message);
        }
      }
    }
  }

  /** Sends everything that is due; must be called every few tens of milliseconds. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    for (RouterPool pool : pools.values()) {
      findSender(pool.key().text()).ifPresent(sender -> sendDemandIfDue(sender, nowMillis));
    }
    for (DispatchedPool pool : List.copyOf(dispatchedPools.values())) {
      sendLeases(pool);
    }
    sendReports(nowMillis);
    announcementBatchers.forEach(
        (address, batcher) -> {
          if (batcher.oldestAgeMillis(nowMillis) >= MAX_ANNOUNCEMENT_DELAY_MILLIS) {
            sendAnnouncements(address, nowMillis);
          }
        });
  }

  private void sendDemandIfDue(DemandSender sender, long nowMillis) {
    int intervalMillis =
        sender.pool().hasWaiting() ? WAITING_DEMAND_INTERVAL_MILLIS : IDLE_DEMAND_INTERVAL_MILLIS;
    if (nowMillis - sender.lastSentAtMillis() >= intervalMillis) {
      sendDemand(sender, false);
    }
  }

  /** Updates the dispatchers of all pools after the membership has changed. */
  public void onMembersChanged() {
    long nowMillis = clock.getAsLong();
    dispatchedPools.keySet().removeIf(pool -> !isDispatcherOf(pool));
    updateMembers(nowMillis);
    Set<String> addresses =
        directory.liveMembers().stream().map(Member::address).collect(Collectors.toSet());
    announcementBatchers.keySet().retainAll(addresses);
    demandSenders.values().forEach(this::updateDispatcher);
  }

  private void updateDispatcher(DemandSender sender) {
    DispatcherSelector.select(sender.pool().key().text(), directory.liveMembers())
        .filter(dispatcher -> sender.setDispatcher(dispatcher.name()))
        .ifPresent(dispatcher -> sendDemandSoon(sender));
  }

  /**
   * Returns the largest difference of service between two backlogged accounts, in tokens, by pool
   * dispatched by this daemon.
   */
  public Map<String, Double> serviceGaps() {
    Map<String, Double> gaps = new TreeMap<>();
    dispatchedPools.forEach((name, pool) -> gaps.put(name, pool.serviceGap()));
    return gaps;
  }
}
