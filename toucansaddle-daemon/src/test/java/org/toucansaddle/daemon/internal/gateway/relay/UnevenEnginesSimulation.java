package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;
import org.toucansaddle.coordination.upstream.SpeedEstimate.Sums;
import org.toucansaddle.coordination.upstream.UpstreamCondition.OthersWork;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;
import org.toucansaddle.daemon.internal.gateway.relay.RequestHead.PromptPart;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.EngineProfile;
import org.toucansaddle.daemon.internal.gateway.relay.UpstreamSelector.Selection;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;
import org.toucansaddle.daemon.internal.gateway.routing.UpstreamTable;

/**
 * Routers that send prompts to engines of different speed; no network and no threads.
 *
 * <p>An engine reads one prompt after another, runs a number of requests at a time and queues the
 * others. Routers select with the classes of the product and learn of each other by sums that are
 * 0.4 s old. Arrivals are repeatable for a seed; the selector's own draws are not.
 */
final class UnevenEnginesSimulation {

  static final int TARGET_MILLIS = 300;

  private static final int SLOTS = 8;
  private static final int TOKENS = 2_000;
  private static final double TOKENS_PER_MILLI = 50;
  private static final double OUTPUT_MILLIS = 150;
  private static final double REPORT_MILLIS = 400;
  private static final int MAX_ATTEMPTS = 3;

  /**
   * An engine. Immutable.
   *
   * @param multiple time of its work at a time in milliseconds, as a multiple of the nominal time
   * @param refuses whether it refuses all requests at once
   * @param reportedLoad the field of its load, made of the true one
   */
  record Kind(
      ToDoubleFunction<Double> multiple, boolean refuses, UnaryOperator<String> reportedLoad) {

    static Kind ofMultiple(double multiple) {
      return new Kind(now -> multiple, false, text -> text);
    }
  }

  private record Event(double at, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
  private final List<Engine> engines = new ArrayList<>();
  private final List<Router> routers = new ArrayList<>();
  private final Random random;
  private final double untilMillis;
  private final double countedFromMillis;
  private double now;
  private int asked;
  private int late;
  private int unserved;
  private int estimatesAbove;
  private int estimates;

  UnevenEnginesSimulation(List<Kind> kinds, int routerCount, long seed, double seconds) {
    random = new Random(seed);
    untilMillis = 1_000 * seconds;
    countedFromMillis = untilMillis / 4;
    kinds.forEach(kind -> engines.add(new Engine(kind)));
    for (int i = 0; i < routerCount; i++) {
      Router router = new Router();
      routers.add(router);
      after(random.nextDouble(REPORT_MILLIS), router::receiveSums);
    }
  }

  /** Runs prompts without shared parts, or of some sessions with a shared part. */
  void run(double perSecond, int sessions) {
    arrive(perSecond, sessions);
    while (now < untilMillis) {
      Event next = events.remove();
      now = next.at();
      next.action().run();
    }
  }

  /** Sends a number of requests to an engine that no router counts. */
  void flood(int engine, double atMillis, int requests) {
    after(
        atMillis,
        () -> {
          for (int i = 0; i < requests; i++) {
            engines.get(engine).accept(new Run(TOKENS, () -> {}, () -> {}));
          }
        });
  }

  /** Returns the requests that an engine got, as a multiple of the mean. */
  double partOf(int engine) {
    double all = engines.stream().mapToInt(e -> e.got).sum();
    return engines.get(engine).got * engines.size() / Math.max(1, all);
  }

  double lateOrUnservedPart() {
    return (late + unserved) / (double) asked;
  }

  double unservedPart() {
    return unserved / (double) asked;
  }

  /** Returns the part of the answered requests whose estimate was above the time observed. */
  double estimatesAbovePart() {
    return estimatesAbove / (double) Math.max(1, estimates);
  }

  /** Returns the number of engines that got prompts of a session, in the mean. */
  double enginesPerSession() {
    return engines.stream().mapToInt(engine -> engine.sessions.size()).sum()
        / (double) engines.stream().flatMap(e -> e.sessions.stream()).distinct().count();
  }

  private void after(double millis, Runnable action) {
    events.add(new Event(now + millis, action));
  }

  private long nanos() {
    return TimeUnit.SECONDS.toNanos(1_000) + (long) (now * TimeUnit.MILLISECONDS.toNanos(1));
  }

  private boolean isCounted() {
    return now >= countedFromMillis;
  }

  private void arrive(double perSecond, int sessions) {
    String session = sessions == 0 ? "" : "session-" + random.nextInt(sessions);
    routers.get(random.nextInt(routers.size())).handle(session);
    double gap = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    after(gap, () -> arrive(perSecond, sessions));
  }

  private static RequestHead head(String session) {
    List<PromptPart> parts =
        session.isEmpty()
            ? List.of(new PromptPart("own", TOKENS))
            : List.of(new PromptPart(session, TOKENS / 2), new PromptPart("own", TOKENS / 2));
    return new RequestHead("r", "POST", "h", "/", "", 0, "", TOKENS, 60, 0, "", "", parts);
  }

  private record Run(int tokens, Runnable begun, Runnable ended) {}

  private final class Engine {
    private final Kind kind;
    private final Deque<Run> queue = new ArrayDeque<>();
    private final Set<String> sessions = new HashSet<>();
    private int running;
    private int got;
    private double readingUntil;

    Engine(Kind kind) {
      this.kind = kind;
    }

    String reportedLoad() {
      return kind.reportedLoad().apply(running + "," + queue.size() + "," + SLOTS);
    }

    void accept(Run run) {
      if (running < SLOTS) {
        start(run);
      } else {
        queue.add(run);
      }
    }

    private void start(Run run) {
      running++;
      double multiple = kind.multiple().applyAsDouble(now);
      double readMillis = multiple * run.tokens() / TOKENS_PER_MILLI;
      readingUntil = Math.max(now, readingUntil) + readMillis;
      double firstMillis = readingUntil - now + 10 * multiple;
      after(firstMillis, run.begun());
      after(
          firstMillis + OUTPUT_MILLIS * multiple,
          () -> {
            running--;
            run.ended().run();
            if (!queue.isEmpty()) {
              start(queue.remove());
            }
          });
    }
  }

  private final class Router {
    private final UpstreamTable table = new UpstreamTable();
    private final UpstreamSelector selector = new UpstreamSelector("z0");
    private final FirstTokenEstimator estimator = new FirstTokenEstimator();

    Router() {
      for (int i = 0; i < engines.size(); i++) {
        String address = "10.0.0." + i + ":80";
        table.accept(new UpstreamReport("u" + i, "s", address, "z0", SLOTS, State.READY, 1, 1), 0);
      }
    }

    private Upstream upstream(int index) {
      return table.all().stream().filter(u -> u.id().equals("u" + index)).findFirst().get();
    }

    /** Hears what the other routers counted at the time of the last reports. */
    private void receiveSums() {
      for (int i = 0; i < engines.size(); i++) {
        int index = i;
        List<Upstream> others =
            routers.stream().filter(r -> r != this).map(r -> r.upstream(index)).toList();
        OthersWork work =
            new OthersWork(
                others.stream().mapToInt(Upstream::localRequests).sum(),
                others.stream().mapToLong(Upstream::localPendingTokens).sum(),
                others.stream()
                    .map(u -> u.condition().localSpeed(nanos()))
                    .reduce(Sums.NONE, Sums::plus));
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(200);
        after(
            REPORT_MILLIS / 2,
            () -> upstream(index).condition().updateOthers(work, ageNanos, nanos()));
      }
      after(REPORT_MILLIS, this::receiveSums);
    }

    void handle(String session) {
      asked += isCounted() ? 1 : 0;
      attempt(session, now, new HashSet<>());
    }

    private void attempt(String session, double arrivedAt, Set<String> tried) {
      Collection<Upstream> usable = table.ready("s");
      EngineProfile profile = new EngineProfile(estimator, TOKENS_PER_MILLI, 0, nanos());
      Optional<Selection> selected =
          tried.size() == MAX_ATTEMPTS
              ? Optional.empty()
              : selector.select(
                  usable, head(session), TARGET_MILLIS, profile, u -> !tried.contains(u.id()));
      if (selected.isEmpty()) {
        unserved += isCounted() ? 1 : 0;
        return;
      }
      send(selected.get(), session, arrivedAt, tried);
    }

    private void send(Selection selected, String session, double arrivedAt, Set<String> tried) {
      Upstream upstream = selected.upstream();
      Engine engine = engines.get(Integer.parseInt(upstream.id().substring(1)));
      engine.got += isCounted() ? 1 : 0;
      int tokens = selected.prefillTokens();
      upstream.recordRequestStarted(tokens, tokens);
      long pending = upstream.pendingTokens(nanos());
      double sentAt = now;
      if (engine.kind.refuses()) {
        after(
            2,
            () -> {
              upstream.recordPromptProcessed(tokens);
              upstream.recordRequestEnded(tokens);
              upstream.condition().recordAnswer(false, nanos());
              tried.add(upstream.id());
              attempt(session, arrivedAt, tried);
            });
        return;
      }
      engine.sessions.add(session);
      Runnable begun =
          () -> {
            LoadField.parse(engine.reportedLoad())
                .ifPresent(load -> upstream.condition().recordLoad(load, nanos()));
            upstream.condition().recordAnswer(true, nanos());
            estimator.addSample(pending, TOKENS_PER_MILLI, Math.round(now - sentAt), 0);
            upstream
                .condition()
                .recordTime(
                    now - sentAt,
                    FirstTokenEstimator.nominalMillis(pending, TOKENS_PER_MILLI),
                    nanos());
            upstream.recordPromptProcessed(tokens);
            late += isCounted() && now - arrivedAt > TARGET_MILLIS ? 1 : 0;
            estimates += isCounted() ? 1 : 0;
            estimatesAbove +=
                isCounted() && selected.expectedFirstTokenMillis() > now - sentAt ? 1 : 0;
          };
      after(
          1,
          () -> engine.accept(new Run(tokens, begun, () -> upstream.recordRequestEnded(tokens))));
    }
  }
}
