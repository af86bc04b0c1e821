package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.daemon.internal.gateway.relay.AdmissionControl.Admission;
import org.toucansaddle.daemon.internal.gateway.relay.AdmissionControl.AdmissionRequest;
import org.toucansaddle.daemon.internal.gateway.relay.RequestHead.PromptPart;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.EngineProfile;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.AccountShares.Charge;
import org.toucansaddle.daemon.internal.gateway.routing.RouterState;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.protocol.generated.AccountUse;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * Routers that admit requests of client accounts to engines which they share; no network and no
 * threads.
 *
 * <p>The routers decide with the classes of the product and know of each other what they reported
 * last. An engine runs a number of requests at a time, queues others in order and reads one prompt
 * after another. Callers come back once after a refusal. Repeatable for a seed.
 */
final class SharedPoolSimulation {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int REPORT_MILLIS = 400;
  private static final double MESSAGE_MILLIS = 3;
  private static final double STEP_MILLIS = 2.89;
  private static final double STEP_MILLIS_PER_SLOT = 0.101;
  private static final double READ_TOKENS_PER_MILLI = 55;
  private static final int MAX_QUEUED = 25;
  private static final long MEMORY_TOKENS = 395_139;
  private static final String SERVICE = "llm";

  /** Size of the fleet and of its engines; the rate is in tokens a second. */
  record Fleet(int routers, int engines, int slots, long ratedTokensPerSecond) {}

  /** Requests of one kind; prompts and responses are exponential around the means, in tokens. */
  record Work(double part, int targetMillis, int sharedTokens, int ownTokens, int outputTokens) {}

  /** Requests of one account, which come to some routers; the rate is in requests a second. */
  record Traffic(
      String account,
      double perSecond,
      List<Integer> routers,
      double fromSeconds,
      double untilSeconds) {

    Traffic(String account, double perSecond, List<Integer> routers, double fromSeconds) {
      this(account, perSecond, routers, fromSeconds, Double.MAX_VALUE);
    }
  }

  /** Tokens of one account in one second. */
  static final class Second {
    long asked;
    long begun;
    int refusals;
    long largest;
  }

  private record Event(long at, long order, Runnable action) {}

  /** A request of a caller. */
  private record Call(String account, Route route, RequestHead head, boolean returned) {}

  private final class Router {
    private final RouterState state =
        new RouterState(content -> null, 60_000, SharedPoolSimulation.this::now);
    private final AdmissionControl admission = new AdmissionControl(state.shares());
    private final UpstreamSelector selector;
    private final FirstTokenEstimator estimator = new FirstTokenEstimator();

    Router(int index) {
      selector = new UpstreamSelector("z" + index % 5);
    }

    void handle(Call call) {
      AdmissionRequest request =
          new AdmissionRequest(
              call.route(), call.head(), call.account(), fleet.ratedTokensPerSecond(), 10_000);
      admission.recordArrival(request);
      List<Upstream> usable = state.usableUpstreams(SERVICE, true);
      double nominal = 2 * fleet.ratedTokensPerSecond() / 1_000.0 / usable.size();
      EngineProfile profile = new EngineProfile(estimator, nominal, MEMORY_TOKENS, now());
      Optional<Selection> selected =
          selector.select(
              usable, call.head(), call.route().targetMillis(), profile, upstream -> true);
      Admission outcome =
          admission.admit(request, selected, () -> ErrorResponse.notRun("busy", "", 1));
      if (outcome.refusal().isPresent()) {
        refuse(call);
        return;
      }
      send(call, selected.get(), nominal, () -> reject(request, outcome.charge()));
    }

    private void reject(AdmissionRequest request, Optional<Charge> charge) {
      charge.ifPresent(admission::withdraw);
      admission.recordTurnedAway(request);
    }

    private void send(Call call, Selection selected, double nominal, Runnable onRejected) {
      Upstream upstream = selected.upstream();
      int memory = selected.prefillTokens() + call.head().expectedOutputTokens();
      upstream.recordRequestStarted(selected.prefillTokens(), memory);
      long pending = upstream.pendingTokens(now());
      long sentAt = now;
      Run run =
          new Run(
              call,
              selected.prefillTokens(),
              () -> {
                upstream.recordPromptProcessed(selected.prefillTokens());
                estimator.addSample(pending, nominal, (now - sentAt) / MILLI, 0);
              },
              () -> upstream.recordRequestEnded(memory),
              () -> {
                upstream.recordPromptProcessed(selected.prefillTokens());
                upstream.recordRequestEnded(memory);
                onRejected.run();
                refuse(call);
              });
      Engine engine = engines.get(Integer.parseInt(upstream.id().substring(1)));
      after(MESSAGE_MILLIS, () -> engine.arrive(run));
    }
  }

  /** A call at an engine and what its router does when it begins, ends or is rejected. */
  private record Run(Call call, int prefill, Runnable begun, Runnable ended, Runnable rejected) {}

  private final class Engine {
    private final Deque<Run> queue = new ArrayDeque<>();
    private int running;
    private long readingUntil;

    void arrive(Run run) {
      if (running < fleet.slots()) {
        start(run);
      } else if (queue.size() < MAX_QUEUED) {
        queue.addLast(run);
      } else {
        after(MESSAGE_MILLIS, run.rejected());
      }
    }

    private void start(Run run) {
      running++;
      double readMillis = run.prefill() / READ_TOKENS_PER_MILLI;
      readingUntil = Math.max(readingUntil, now) + (long) (readMillis * MILLI);
      double stepMillis = STEP_MILLIS + STEP_MILLIS_PER_SLOT * running;
      double untilFirst = (readingUntil - now) / (double) MILLI + stepMillis;
      after(
          untilFirst,
          () -> {
            Second second = second(run.call().account());
            second.begun += run.call().head().totalWorkTokens();
            run.begun().run();
          });
      after(
          untilFirst + run.call().head().expectedOutputTokens() * stepMillis,
          () -> {
            running--;
            run.ended().run();
            if (!queue.isEmpty()) {
              start(queue.removeFirst());
            }
          });
    }
  }

  private final Fleet fleet;
  private final List<Work> works;
  private final Random random;
  private final List<Engine> engines = new ArrayList<>();
  private final List<Router> routers = new ArrayList<>();
  private final Map<String, Map<Integer, Second>> seconds = new TreeMap<>();
  private final Map<Router, FollowerReport> lastReports = new HashMap<>();
  private final Map<String, List<Integer>> routersByAccount = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private long now = TimeUnit.SECONDS.toNanos(1_000);
  private final long startedAt = now;
  private long order;

  SharedPoolSimulation(Fleet fleet, List<Work> works, long seed) {
    this.fleet = fleet;
    this.works = works;
    this.random = new Random(seed);
    for (int index = 0; index < fleet.engines(); index++) {
      engines.add(new Engine());
    }
    for (int index = 0; index < fleet.routers(); index++) {
      Router router = new Router(index);
      router.state.update("control", upstreams(fleet));
      routers.add(router);
      after(random.nextDouble(REPORT_MILLIS), () -> reportRepeatedly(router));
    }
  }

  private static FleetUpdate upstreams(Fleet fleet) {
    FleetUpdate.Builder update = FleetUpdate.newBuilder().setComplete(true);
    for (int index = 0; index < fleet.engines(); index++) {
      update.addUpstreams(
          UpstreamMessage.newBuilder()
              .setId("u" + index)
              .setService(SERVICE)
              .setAddress("10.0.0." + index + ":1")
              .setZone("z" + index % 5)
              .setSlots(fleet.slots())
              .setState(State.READY.ordinal())
              .setStartedAtMillis(1)
              .setSequence(1));
    }
    return update.build();
  }

  private long now() {
    return now;
  }

  private void after(double millis, Runnable action) {
    events.add(new Event(now + (long) (millis * MILLI), order++, action));
  }

  /** Reports to a control daemon, which sends the sums of the others with its next heartbeat. */
  private void reportRepeatedly(Router router) {
    lastReports.put(router, router.state.createReport().build());
    after(random.nextDouble(REPORT_MILLIS), () -> updateSums(router));
    after(REPORT_MILLIS, () -> reportRepeatedly(router));
  }

  private void updateSums(Router router) {
    Map<String, AccountUse.Builder> accounts = new TreeMap<>();
    Map<String, UpstreamWork.Builder> works = new TreeMap<>();
    lastReports.forEach(
        (other, report) -> {
          if (other != router) {
            report.getAccountsList().forEach(use -> add(accounts, use));
            report.getWorkList().forEach(work -> add(works, work));
          }
        });
    router.state.updateRemoteWork(
        works.values().stream().map(UpstreamWork.Builder::build).toList());
    router
        .state
        .shares()
        .updateRemoteUsage(accounts.values().stream().map(AccountUse.Builder::build).toList());
  }

  private static void add(Map<String, AccountUse.Builder> sums, AccountUse use) {
    AccountUse.Builder sum = sums.computeIfAbsent(use.getAccount(), n -> AccountUse.newBuilder());
    sum.setAccount(use.getAccount())
        .setAsked(sum.getAsked() + use.getAsked())
        .setAdmitted(sum.getAdmitted() + use.getAdmitted())
        .setWork(sum.getWork() + use.getWork())
        .setTurnedAway(sum.getTurnedAway() + use.getTurnedAway())
        .setRecentlyAsked(sum.getRecentlyAsked() + use.getRecentlyAsked());
  }

  private static void add(Map<String, UpstreamWork.Builder> sums, UpstreamWork work) {
    UpstreamWork.Builder sum =
        sums.computeIfAbsent(work.getUpstream(), n -> UpstreamWork.newBuilder());
    sum.setUpstream(work.getUpstream())
        .setRequests(sum.getRequests() + work.getRequests())
        .setPendingTokens(sum.getPendingTokens() + work.getPendingTokens())
        .setMemoryTokens(sum.getMemoryTokens() + work.getMemoryTokens());
  }

  void addTraffic(Traffic traffic) {
    after(traffic.fromSeconds() * 1_000, () -> arrive(traffic));
  }

  private void arrive(Traffic traffic) {
    if (now - startedAt >= traffic.untilSeconds() * 1_000 * MILLI) {
      return;
    }
    Call call = createCall(traffic.account());
    Second second = second(call.account());
    second.asked += call.head().totalWorkTokens();
    second.largest = Math.max(second.largest, call.head().totalWorkTokens());
    randomRouter(traffic.routers()).handle(call);
    after(1_000 * exponential() / traffic.perSecond(), () -> arrive(traffic));
    routersByAccount.put(call.account(), traffic.routers());
  }

  private Router randomRouter(List<Integer> indexes) {
    return routers.get(indexes.get(random.nextInt(indexes.size())));
  }

  private Call createCall(String account) {
    double drawn = random.nextDouble();
    int index = 0;
    while (index < works.size() - 1 && drawn >= works.get(index).part()) {
      drawn -= works.get(index).part();
      index++;
    }
    Work work = works.get(index);
    int own = (int) Math.max(1, exponential() * work.ownTokens());
    int output = (int) Math.max(1, exponential() * work.outputTokens());
    String prefix = index + "-" + (int) (400 * Math.pow(random.nextDouble(), 1.3));
    RequestHead head =
        new RequestHead(
            "r",
            "POST",
            "h",
            "/",
            "",
            10_000,
            "k",
            work.sharedTokens() + own,
            output,
            output,
            "",
            "",
            List.of(new PromptPart(prefix, work.sharedTokens()), new PromptPart("own", own)));
    return new Call(account, route(work.targetMillis()), head, false);
  }

  private static Route route(int targetMillis) {
    return new Route(
        "r",
        "h",
        "/",
        Repetition.STREAM,
        10_000,
        targetMillis,
        300,
        1,
        List.of(new WeightedService(SERVICE, 1)),
        2,
        false,
        true);
  }

  private double exponential() {
    return -Math.log(1 - random.nextDouble());
  }

  /** Refuses a call; its caller comes back once, to any of the account's routers. */
  private void refuse(Call call) {
    second(call.account()).refusals++;
    if (!call.returned()) {
      Call again = new Call(call.account(), call.route(), call.head(), true);
      int delay = (int) RetryAfter.randomDelayMillis(call.route().targetMillis());
      after(delay, () -> randomRouter(routersByAccount.get(call.account())).handle(again));
    }
  }

  private Second second(String account) {
    int index = (int) TimeUnit.NANOSECONDS.toSeconds(now - startedAt);
    return seconds
        .computeIfAbsent(account, name -> new TreeMap<>())
        .computeIfAbsent(index, i -> new Second());
  }

  /** Plays until a time, in seconds. */
  void run(double untilSeconds) {
    long until = startedAt + (long) (untilSeconds * 1_000 * MILLI);
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
  }

  /** Returns the tokens of an account in a second. */
  Second second(String account, int index) {
    return seconds.getOrDefault(account, Map.of()).getOrDefault(index, new Second());
  }

  /** Returns the accounts that asked for something. */
  Iterable<String> accounts() {
    return List.copyOf(seconds.keySet());
  }
}
