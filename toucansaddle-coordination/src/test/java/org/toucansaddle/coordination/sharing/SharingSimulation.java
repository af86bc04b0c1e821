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
 * Simulates a dispatcher and routers that exchange leases and demands with random delay and loss.
 *
 * <p>Deterministic for a seed. Times are simulated, in milliseconds. Not thread-safe.
 */
final class SharingSimulation {

  private static final int UPSTREAMS = 3;
  private static final int SLOTS = 4;

  /** A request with its run time. */
  static final class Request implements SlotRequest {
    private final int account;
    private final int durationMillis;
    private final long arrivedAtMillis;

    Request(int account, int durationMillis, long arrivedAtMillis) {
      this.account = account;
      this.durationMillis = durationMillis;
      this.arrivedAtMillis = arrivedAtMillis;
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

  private record Event(long timeMillis, long order, Runnable action) {}

  private final SplittableRandom random;
  private final SharingSettings settings = SharingSettings.defaults();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeMillis).thenComparingLong(Event::order));
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

  private void scheduleAt(long timeMillis, Runnable action) {
    events.add(new Event(timeMillis, order++, action));
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

  /** Makes the first upstream announce from {@code timeMillis} on that it leaves. */
  void announceLeavingAt(long timeMillis) {
    leavingAtMillis = timeMillis;
    scheduleAt(
        timeMillis,
        () ->
            dispatcher.updateUpstream(
                new UpstreamSlots("u1", 1, "127.0.0.1:1", "zone-a", SLOTS, true), now));
  }

  /** Makes a new dispatcher without state take over at {@code timeMillis}. */
  void failOverAt(long timeMillis) {
    scheduleAt(
        timeMillis,
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
      boolean slotsRevoked = router.applyLease(lease, now);
      startAssigned(lease.router());
      if (router.releaseContendedSlots() || slotsRevoked) {
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

  /** Adds a request at a router at {@code timeMillis}. */
  void addRequestAt(long timeMillis, String router, int account, int durationMillis) {
    scheduleAt(
        timeMillis,
        () -> {
          PoolScheduler<Request> scheduler = routers.get(router);
          scheduler.enqueue(new Request(account, durationMillis, now));
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
    boolean aboveLease = scheduler.releaseSlot(request);
    startAssigned(router);
    if (scheduler.releaseContendedSlots() || aboveLease) {
      sendDemand(router);
    }
  }

  /** Processes all events up to {@code untilMillis}. */
  void run(long untilMillis) {
    while (!events.isEmpty() && events.peek().timeMillis() <= untilMillis) {
      Event event = events.poll();
      now = event.timeMillis();
      event.action().run();
    }
  }

  /** Returns the largest number of requests that ran concurrently on one upstream. */
  int maxRunning() {
    return maxRunning;
  }

  /**
   * Returns the time from the first upstream's leaving to its last new request, in milliseconds.
   */
  long lastStartAfterLeavingMillis() {
    return lastStartAfterLeavingMillis;
  }

  /** Returns the longest wait of an account; {@link Long#MAX_VALUE} if none of it started. */
  long maxWaitMillis(int account) {
    return maxWaitMillis.getOrDefault(account, Long.MAX_VALUE);
  }

  /** Returns how many requests wait at all routers. */
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
