package org.toucansaddle.coordination.sharing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One dispatcher and some routers that exchange leases and demands with delay and loss, driven by a
 * seed. Used by one thread.
 */
final class SharingSimulation {

  private static final int UPSTREAMS = 3;
  private static final int SLOTS = 4;

  /** A request with its remaining time. */
  static final class Request implements SlotRequest {
    private final int account;
    private final int durationMillis;
    private final long arrivedAtMillis;

    Request(int account, int millis, long arrivedAt) {
      this.account = account;
      this.durationMillis = millis;
      this.arrivedAtMillis = arrivedAt;
    }

    @Override
    public int account() {
      return account;
    }

    @Override
    public long deadlineMillis() {
      return arrivedAtMillis;
    }

    @Override
    public boolean isPreemptible() {
      return false;
    }

    @Override
    public boolean canRunOn(UpstreamSlots upstream) {
      return true;
    }
  }

  private record Event(long at, long order, Runnable action) {}

  private final SplittableRandom random;
  private final SharingSettings settings = SharingSettings.defaults();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final Map<String, PoolScheduler<Request>> routers = new TreeMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final Map<Integer, Long> maxWaitMillis = new TreeMap<>();
  private final int lossPercent;
  private PoolDispatcher dispatcher;
  private long epoch = 1;
  private long now;
  private long order;
  private long demandSequence;
  private int maxRunning;
  private long lastStartAfterLeavingMillis;
  private long leavingAtMillis = Long.MAX_VALUE;

  SharingSimulation(long seed, int routerCount, int lossPercent) {
    this.random = new SplittableRandom(seed);
    this.lossPercent = lossPercent;
    this.dispatcher = PoolDispatcher.create(settings, epoch, now);
    for (int i = 1; i <= routerCount; i++) {
      routers.put("r" + i, PoolScheduler.create(SharingMode.FLEET));
    }
    dispatcher.setLiveRouters(routers.keySet(), now);
    scheduleAt(0, this::announceUpstreams);
    routers
        .keySet()
        .forEach(router -> scheduleAt(random.nextInt(100), () -> sendDemandRegularly(router)));
    scheduleAt(20, this::pollRegularly);
  }

  private void scheduleAt(long time, Runnable action) {
    events.add(new Event(time, order++, action));
  }

  private void deliver(Runnable action) {
    if (random.nextInt(100) >= lossPercent) {
      scheduleAt(now + 1 + random.nextInt(20), action);
    }
  }

  private void announceUpstreams() {
    for (int i = 1; i <= UPSTREAMS; i++) {
      boolean leaving = i == 1 && now >= leavingAtMillis;
      UpstreamSlots upstream =
          new UpstreamSlots("u" + i, 1, "127.0.0.1:" + i, "zone-a", SLOTS, leaving);
      dispatcher.updateUpstream(upstream, now);
    }
    scheduleAt(now + 500, this::announceUpstreams);
  }

  /** From a time on the first upstream announces that it leaves. */
  void announceLeavingAt(long time) {
    leavingAtMillis = time;
    scheduleAt(
        time,
        () ->
            dispatcher.updateUpstream(
                new UpstreamSlots("u1", 1, "127.0.0.1:1", "zone-a", SLOTS, true), now));
  }

  /** At a time another dispatcher takes over, which knows nothing. */
  void failOverAt(long time) {
    scheduleAt(
        time,
        () -> {
          epoch++;
          dispatcher = PoolDispatcher.create(settings, epoch, now);
          dispatcher.setLiveRouters(routers.keySet(), now);
          routers.values().forEach(PoolScheduler::resetLeaseEpoch);
        });
  }

  private void pollRegularly() {
    for (Lease lease : dispatcher.poll(now)) {
      deliver(() -> applyLease(lease));
    }
    scheduleAt(now + 25, this::pollRegularly);
  }

  private void applyLease(Lease lease) {
    PoolScheduler<Request> router = routers.get(lease.router());
    if (lease.epoch() == epoch) {
      boolean shrank = router.applyLease(lease, now);
      startAssigned(lease.router());
      if (router.releaseContendedSlots() || shrank) {
        sendDemand(lease.router());
      }
    }
  }

  private void sendDemandRegularly(String router) {
    sendDemand(router);
    scheduleAt(now + 1_000, () -> sendDemandRegularly(router));
  }

  private void sendDemand(String name) {
    PoolScheduler<Request> router = routers.get(name);
    RouterDemand demand =
        new RouterDemand(
            name,
            1,
            ++demandSequence,
            router.leaseEpoch(),
            router.leaseSequence(),
            router.accounts(),
            router.upstreams(),
            Map.of());
    PoolDispatcher receiver = dispatcher;
    deliver(() -> receiver.updateDemand(demand, now));
  }

  /** Adds a request at a router at a time. */
  void addRequestAt(long time, String router, int account, int millis) {
    scheduleAt(
        time,
        () -> {
          PoolScheduler<Request> scheduler = routers.get(router);
          scheduler.enqueue(new Request(account, millis, now));
          startAssigned(router);
          if (scheduler.waiting(account) == 1) {
            sendDemand(router);
          }
        });
  }

  private void startAssigned(String router) {
    for (SlotAssignment<Request> assignment : routers.get(router).assign(now)) {
      String upstream = assignment.upstream().id();
      Request request = assignment.request();
      maxWaitMillis.merge(request.account, now - request.arrivedAtMillis, Math::max);
      routers.get(router).addService(request.account, request.durationMillis);
      maxRunning = Math.max(maxRunning, running.merge(upstream, 1, Integer::sum));
      if (upstream.equals("u1") && now >= leavingAtMillis) {
        lastStartAfterLeavingMillis = Math.max(lastStartAfterLeavingMillis, now - leavingAtMillis);
      }
      scheduleAt(now + request.durationMillis, () -> finishRequest(router, upstream, request));
    }
  }

  private void finishRequest(String router, String upstream, Request request) {
    PoolScheduler<Request> scheduler = routers.get(router);
    running.merge(upstream, -1, Integer::sum);
    boolean over = scheduler.releaseSlot(request);
    startAssigned(router);
    if (scheduler.releaseContendedSlots() || over) {
      sendDemand(router);
    }
  }

  void run(long until) {
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
  }

  /** Returns the most requests that ran at one upstream at a time. */
  int maxRunning() {
    return maxRunning;
  }

  /** Returns how long after it left the first upstream still got new work, in milliseconds. */
  long lastStartAfterLeavingMillis() {
    return lastStartAfterLeavingMillis;
  }

  /** Returns the longest wait of an account, in milliseconds. */
  long maxWaitMillis(int account) {
    return maxWaitMillis.getOrDefault(account, Long.MAX_VALUE);
  }

  /** Returns how many requests wait. */
  int waiting() {
    int count = 0;
    for (PoolScheduler<Request> router : routers.values()) {
      count += router.accounts().values().stream().mapToInt(AccountDemand::waiting).sum();
    }
    return count;
  }

  /** Returns the names of the routers. */
  List<String> routers() {
    return new ArrayList<>(new TreeSet<>(routers.keySet()));
  }
}
