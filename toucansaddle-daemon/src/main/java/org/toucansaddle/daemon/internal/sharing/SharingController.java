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
 * Connects this router's pools with their dispatchers, and runs the dispatchers chosen to be here.
 *
 * <p>All state but the pools is used on the control thread only; methods marked so may be called
 * from any thread.
 */
public final class SharingController {

  private static final int WAITING_DEMAND_MILLIS = 1_000;
  private static final int IDLE_DEMAND_MILLIS = 1_500;
  private static final int URGENT_GAP_MILLIS = 20;
  private static final int IDLE_GRACE_MILLIS = 10;
  private static final int ANNOUNCEMENT_BATCH_MILLIS = 600;
  private static final int REPORT_MILLIS = 2_500;
  private static final long ROSTER_MILLIS = 600_000;

  private final PeerIdentity self;
  private final SharingSettings settings;
  private final FleetDirectory directory;
  private final PeerClients clients;
  private final ServiceCounters service;
  private final ScheduledExecutorService control;
  private final LongSupplier clock;
  private final Consumer<PoolReport> onReport;
  private final Map<PoolKey, RouterPool> pools = new ConcurrentHashMap<>();
  private final Map<String, DemandSender> senders = new TreeMap<>();
  private final Map<String, DispatchedPool> dispatched = new TreeMap<>();
  private final Map<String, AnnouncementRelay> relays = new HashMap<>();
  private final Map<Integer, Announcement> announcementsByHash = new ConcurrentHashMap<>();
  private final Map<String, Announcement> announced = new ConcurrentHashMap<>();
  private final Map<String, Long> deadSince = new HashMap<>();
  private long reportedAt;

  /**
   * Creates a controller; {@code control} must run one task at a time.
   *
   * @param onReport takes reports of the pools dispatched here, if this daemon is a control replica
   */
  public SharingController(
      PeerIdentity self,
      SharingSettings settings,
      FleetDirectory directory,
      PeerClients clients,
      ServiceCounters service,
      ScheduledExecutorService control,
      LongSupplier clock,
      Consumer<PoolReport> onReport) {
    this.self = self;
    this.settings = settings;
    this.directory = directory;
    this.clients = clients;
    this.service = service;
    this.control = control;
    this.clock = clock;
    this.onReport = onReport;
  }

  /** Returns this router's pool of a key, creating it if needed. Any thread. */
  public RouterPool pool(PoolKey key) {
    return pools.computeIfAbsent(
        key, k -> new RouterPool(k, settings.mode(), clock, new PoolListener()));
  }

  /** Returns this router's pools. Any thread. */
  public Collection<RouterPool> pools() {
    return pools.values();
  }

  /** Returns the upstreams whose announcements reached this daemon. Any thread. */
  public Collection<Announcement> announced() {
    return announced.values();
  }

  /** Passes what a pool tells on to the control thread. */
  private final class PoolListener implements RouterPool.Listener {
    @Override
    public void onUrgentDemand(PoolKey key) {
      control.execute(() -> sender(key.text()).ifPresent(SharingController.this::sendSoon));
    }

    /** A slot that became idle is often used again at once, so it is kept for a moment. */
    @Override
    public void onIdleWanted(PoolKey key) {
      control.schedule(
          () ->
              sender(key.text())
                  .filter(sender -> sender.pool().releaseWanted())
                  .ifPresent(SharingController.this::sendSoon),
          IDLE_GRACE_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  private Optional<DemandSender> sender(String pool) {
    for (RouterPool candidate : pools.values()) {
      if (candidate.key().text().equals(pool)) {
        return Optional.of(
            senders.computeIfAbsent(pool, p -> new DemandSender(candidate, self.name())));
      }
    }
    return Optional.empty();
  }

  private void sendSoon(DemandSender sender) {
    if (sender.isScheduled()) {
      return;
    }
    long wait = sender.sentAt() + URGENT_GAP_MILLIS - clock.getAsLong();
    if (wait <= 0) {
      sendDemand(sender);
      return;
    }
    sender.setScheduled(true);
    control.schedule(() -> sendDemand(sender), wait, TimeUnit.MILLISECONDS);
  }

  private void sendDemand(DemandSender sender) {
    sendDemand(sender, true);
  }

  private void sendDemand(DemandSender sender, boolean urgent) {
    sender.setScheduled(false);
    Optional<Member> dispatcher =
        DispatcherElection.dispatcher(sender.pool().key().text(), directory.liveMembers());
    if (dispatcher.isEmpty()) {
      return;
    }
    sender.useDispatcher(dispatcher.get().name());
    Demand demand = sender.next(service.totals(), clock.getAsLong());
    if (dispatcher.get().name().equals(self.name())) {
      onDemand(self, demand);
    } else {
      sendAnnouncements(dispatcher.get().address(), clock.getAsLong());
      PeerMessage message = PeerMessage.newBuilder().setDemand(demand).build();
      send(dispatcher.get().address(), message, urgent);
    }
  }

  // ---- messages ----

  /** Takes a router's demand for a pool that is dispatched here. */
  public void onDemand(PeerIdentity from, Demand demand) {
    DispatchedPool pool = dispatched.get(demand.getPool());
    if (pool == null) {
      if (!isDispatcher(demand.getPool())) {
        return;
      }
      pool = startDispatching(demand.getPool());
    }
    pool.demanded(from, demand, clock.getAsLong());
    sendLeases(pool);
    pollAgainSoon(pool);
  }

  /** A change that came too soon after the last plan is planned as soon as that is allowed. */
  private void pollAgainSoon(DispatchedPool pool) {
    if (!pool.isPollScheduled()) {
      pool.setPollScheduled(true);
      control.schedule(
          () -> {
            pool.setPollScheduled(false);
            sendLeases(pool);
          },
          settings.replanMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  /** Takes a lease from a pool's dispatcher. */
  public void onLease(PeerIdentity from, SlotLease lease) {
    Optional<DemandSender> sender = sender(lease.getPool());
    boolean fromDispatcher =
        DispatcherElection.dispatcher(lease.getPool(), directory.liveMembers())
            .filter(member -> member.name().equals(from.name()))
            .isPresent();
    if (sender.isEmpty() || !fromDispatcher) {
      return;
    }
    sender.get().useDispatcher(from.name());
    if (!sender.get().apply(lease)) {
      sendSoon(sender.get());
    }
  }

  /** Takes an announcement that an upstream sent to this daemon. Any thread. */
  public void onAnnouncement(Announcement announcement) {
    control.execute(() -> relay(announcement));
  }

  private void relay(Announcement announcement) {
    announced.put(announcement.getPool() + "|" + announcement.getId(), announcement);
    PoolKey key = new PoolKey(announcement.getKind(), announcement.getPool());
    if (announcement.getLeaving()) {
      pool(key).block(announcement.getId());
    }
    long now = clock.getAsLong();
    DispatcherElection.dispatcher(key.text(), directory.liveMembers())
        .ifPresent(
            dispatcher -> {
              String address = dispatcher.address();
              boolean changed =
                  relays
                      .computeIfAbsent(address, a -> new AnnouncementRelay())
                      .add(announcement, now);
              if (changed || dispatcher.name().equals(self.name())) {
                sendAnnouncements(address, now);
              }
            });
  }

  private void sendAnnouncements(String address, long now) {
    AnnouncementRelay relay = relays.get(address);
    if (relay == null || relay.isEmpty()) {
      return;
    }
    AnnouncementBatch batch = relay.take(now);
    if (address.equals(self.address())) {
      onAnnouncements(self, batch);
    } else {
      PeerMessage message = PeerMessage.newBuilder().setAnnouncements(batch).build();
      send(address, message, batch.getChangedCount() > 0);
    }
  }

  /** Takes announcements that another daemon passed on. */
  public void onAnnouncements(PeerIdentity from, AnnouncementBatch batch) {
    if (batch.getUnknownCount() > 0) {
      relays
          .computeIfAbsent(from.address(), a -> new AnnouncementRelay())
          .unknown(batch.getUnknownList());
    }
    long now = clock.getAsLong();
    for (Announcement announcement : batch.getChangedList()) {
      announcementsByHash.put(AnnouncementRelay.hash(announcement), announcement);
      deliver(announcement, now - announcement.getAgeMillis());
    }
    AnnouncementBatch.Builder unknown = AnnouncementBatch.newBuilder();
    for (int hash : batch.getUnchangedList()) {
      Announcement announcement = announcementsByHash.get(hash);
      if (announcement == null) {
        unknown.addUnknown(hash);
      } else {
        deliver(announcement, now - batch.getAgeMillis());
      }
    }
    if (unknown.getUnknownCount() == 0) {
      return;
    }
    if (from.address().equals(self.address())) {
      relays.get(self.address()).unknown(unknown.getUnknownList());
    } else {
      clients.send(from.address(), PeerMessage.newBuilder().setAnnouncements(unknown).build());
    }
  }

  private void deliver(Announcement announcement, long heardAt) {
    PoolKey key = new PoolKey(announcement.getKind(), announcement.getPool());
    DispatchedPool pool = dispatched.get(key.text());
    if (pool == null && isDispatcher(key.text())) {
      pool = startDispatching(key.text());
    }
    if (pool != null) {
      pool.announced(announcement, heardAt);
      sendLeases(pool);
    }
  }

  // ---- dispatching ----

  private boolean isDispatcher(String pool) {
    return DispatcherElection.dispatcher(pool, directory.liveMembers())
        .filter(member -> member.name().equals(self.name()))
        .isPresent();
  }

  private DispatchedPool startDispatching(String pool) {
    DispatchedPool created =
        new DispatchedPool(pool, settings, System.currentTimeMillis(), clock.getAsLong());
    dispatched.put(pool, created);
    created.setMembers(liveNames(), roster(), clock.getAsLong());
    return created;
  }

  /** Members that may serve, but that this daemon may be cut off from. */
  private Set<String> roster() {
    long now = clock.getAsLong();
    return directory.members().stream()
        .filter(member -> member.state() != Member.State.LEFT)
        .filter(member -> now - deadSince.getOrDefault(member.name(), now) <= ROSTER_MILLIS)
        .map(Member::name)
        .collect(Collectors.toSet());
  }

  private void followRoster(long now) {
    for (Member member : directory.members()) {
      if (member.state() == Member.State.DEAD) {
        deadSince.putIfAbsent(member.name(), now);
      } else {
        deadSince.remove(member.name());
      }
    }
    Set<String> live = liveNames();
    Set<String> roster = roster();
    dispatched.values().forEach(pool -> pool.setMembers(live, roster, now));
  }

  private Set<String> liveNames() {
    return directory.liveMembers().stream().map(Member::name).collect(Collectors.toSet());
  }

  private void send(String address, PeerMessage message, boolean urgent) {
    if (urgent) {
      clients.send(address, message);
    } else {
      clients.sendDeferred(address, message);
    }
  }

  private void sendLeases(DispatchedPool pool) {
    for (DispatchedPool.AddressedLease lease : pool.poll(clock.getAsLong())) {
      if (lease.router().equals(self.name())) {
        onLease(self, lease.message());
        continue;
      }
      PeerMessage message = PeerMessage.newBuilder().setLease(lease.message()).build();
      boolean renewal = lease.message().getRenewal();
      directory.findAddress(lease.router()).ifPresent(address -> send(address, message, !renewal));
    }
  }

  /** Tells the control replicas of the pools dispatched here. */
  private void sendReports(long now) {
    if (now - reportedAt < REPORT_MILLIS) {
      return;
    }
    reportedAt = now;
    followRoster(now);
    List<Member> replicas = directory.liveMembers().stream().filter(Member::control).toList();
    for (DispatchedPool pool : dispatched.values()) {
      if (!pool.servesModel()) {
        continue;
      }
      PoolReport report = pool.report(now);
      for (Member replica : replicas) {
        if (replica.name().equals(self.name())) {
          onReport.accept(report);
        } else {
          PeerMessage message = PeerMessage.newBuilder().setPoolReport(report).build();
          clients.sendDeferred(replica.address(), message);
        }
      }
    }
  }

  /** Does what has become due; call it every few tens of milliseconds. */
  public void tick() {
    long now = clock.getAsLong();
    for (RouterPool pool : pools.values()) {
      sender(pool.key().text()).ifPresent(sender -> sendIfDue(sender, now));
    }
    for (DispatchedPool pool : List.copyOf(dispatched.values())) {
      sendLeases(pool);
    }
    sendReports(now);
    relays.forEach(
        (address, relay) -> {
          if (relay.oldestAge(now) >= ANNOUNCEMENT_BATCH_MILLIS) {
            sendAnnouncements(address, now);
          }
        });
  }

  private void sendIfDue(DemandSender sender, long now) {
    int pause = sender.pool().isWaiting() ? WAITING_DEMAND_MILLIS : IDLE_DEMAND_MILLIS;
    if (now - sender.sentAt() >= pause) {
      sendDemand(sender, false);
    }
  }

  /** Moves dispatchers after the members changed. */
  public void membersChanged() {
    long now = clock.getAsLong();
    dispatched.keySet().removeIf(pool -> !isDispatcher(pool));
    followRoster(now);
    Set<String> addresses =
        directory.liveMembers().stream().map(Member::address).collect(Collectors.toSet());
    relays.keySet().retainAll(addresses);
    senders.values().forEach(this::followDispatcher);
  }

  private void followDispatcher(DemandSender sender) {
    DispatcherElection.dispatcher(sender.pool().key().text(), directory.liveMembers())
        .filter(dispatcher -> sender.useDispatcher(dispatcher.name()))
        .ifPresent(dispatcher -> sendSoon(sender));
  }

  /** Returns the pools dispatched here with their largest service gap, in tokens. */
  public Map<String, Double> serviceGaps() {
    Map<String, Double> gaps = new TreeMap<>();
    dispatched.forEach((name, pool) -> gaps.put(name, pool.serviceGap()));
    return gaps;
  }
}
