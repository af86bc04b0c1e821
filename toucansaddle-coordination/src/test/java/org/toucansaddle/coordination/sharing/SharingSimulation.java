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
    private final int millis;
    private final long arrivedAt;

    Request(int account, int millis, long arrivedAt) {
      this.account = account;
      this.millis = millis;
      this.arrivedAt = arrivedAt;
    }

    @Override
    public int account() {
      return account;
    }

    @Override
    public long deadlineMillis() {
      return arrivedAt;
    }

    @Override
    public boolean isPreemptible() {
      return false;
    }

    @Override
    public boolean mayUse(UpstreamSlots upstream) {
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
  private final Map<Integer, Long> longestWait = new TreeMap<>();
  private final int lossPercent;
  private PoolDispatcher dispatcher;
  private long epoch = 1;
  private long now;
  private long order;
  private long demands;
  private int mostRunning;
  private long startedAfterLeaving;
  private long leftAt = Long.MAX_VALUE;

  SharingSimulation(long seed, int routerCount, int lossPercent) {
    this.random = new SplittableRandom(seed);
    this.lossPercent = lossPercent;
    this.dispatcher = PoolDispatcher.create(settings, epoch, now);
    for (int i = 1; i <= routerCount; i++) {
      routers.put("r" + i, PoolScheduler.create(SharingMode.FLEET));
    }
    dispatcher.setLiveRouters(routers.keySet(), now);
    at(0, this::announce);
    routers.keySet().forEach(router -> at(random.nextInt(100), () -> demandRegularly(router)));
    at(20, this::pollRegularly);
  }

  private void at(long time, Runnable action) {
    events.add(new Event(time, order++, action));
  }

  private void deliver(Runnable action) {
    if (random.nextInt(100) >= lossPercent) {
      at(now + 1 + random.nextInt(20), action);
    }
  }

  private void announce() {
    for (int i = 1; i <= UPSTREAMS; i++) {
      boolean leaving = i == 1 && now >= leftAt;
      UpstreamSlots upstream =
          new UpstreamSlots("u" + i, 1, "127.0.0.1:" + i, "zone-a", SLOTS, leaving);
      dispatcher.announced(upstream, now);
    }
    at(now + 500, this::announce);
  }

  /** From a time on the first upstream announces that it leaves. */
  void leaveAt(long time) {
    leftAt = time;
    at(
        time,
        () ->
            dispatcher.announced(
                new UpstreamSlots("u1", 1, "127.0.0.1:1", "zone-a", SLOTS, true), now));
  }

  /** At a time another dispatcher takes over, which knows nothing. */
  void failOverAt(long time) {
    at(
        time,
        () -> {
          epoch++;
          dispatcher = PoolDispatcher.create(settings, epoch, now);
          dispatcher.setLiveRouters(routers.keySet(), now);
          routers.values().forEach(PoolScheduler::dispatcherChanged);
        });
  }

  private void pollRegularly() {
    for (Lease lease : dispatcher.poll(now)) {
      deliver(() -> apply(lease));
    }
    at(now + 25, this::pollRegularly);
  }

  private void apply(Lease lease) {
    PoolScheduler<Request> router = routers.get(lease.router());
    if (lease.epoch() == epoch) {
      boolean shrank = router.applyLease(lease, now);
      startReady(lease.router());
      if (router.releaseWanted() || shrank) {
        demand(lease.router());
      }
    }
  }

  private void demandRegularly(String router) {
    demand(router);
    at(now + 1_000, () -> demandRegularly(router));
  }

  private void demand(String name) {
    PoolScheduler<Request> router = routers.get(name);
    RouterDemand demand =
        new RouterDemand(
            name,
            1,
            ++demands,
            router.leaseEpoch(),
            router.leaseSequence(),
            router.accounts(),
            router.upstreams(),
            Map.of());
    PoolDispatcher receiver = dispatcher;
    deliver(() -> receiver.demanded(demand, now));
  }

  /** Adds a request at a router at a time. */
  void arrive(long time, String router, int account, int millis) {
    at(
        time,
        () -> {
          PoolScheduler<Request> scheduler = routers.get(router);
          scheduler.enqueue(new Request(account, millis, now));
          startReady(router);
          if (scheduler.waiting(account) == 1) {
            demand(router);
          }
        });
  }

  private void startReady(String router) {
    for (SlotAssignment<Request> assignment : routers.get(router).assign(now)) {
      String upstream = assignment.upstream().id();
      Request request = assignment.request();
      longestWait.merge(request.account, now - request.arrivedAt, Math::max);
      routers.get(router).served(request.account, request.millis);
      mostRunning = Math.max(mostRunning, running.merge(upstream, 1, Integer::sum));
      if (upstream.equals("u1") && now >= leftAt) {
        startedAfterLeaving = Math.max(startedAfterLeaving, now - leftAt);
      }
      at(now + request.millis, () -> finish(router, upstream, request));
    }
  }

  private void finish(String router, String upstream, Request request) {
    PoolScheduler<Request> scheduler = routers.get(router);
    running.merge(upstream, -1, Integer::sum);
    boolean over = scheduler.finished(request);
    startReady(router);
    if (scheduler.releaseWanted() || over) {
      demand(router);
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
  int mostRunning() {
    return mostRunning;
  }

  /** Returns how long after it left the first upstream still got new work, in milliseconds. */
  long startedAfterLeaving() {
    return startedAfterLeaving;
  }

  /** Returns the longest wait of an account, in milliseconds. */
  long longestWait(int account) {
    return longestWait.getOrDefault(account, Long.MAX_VALUE);
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
