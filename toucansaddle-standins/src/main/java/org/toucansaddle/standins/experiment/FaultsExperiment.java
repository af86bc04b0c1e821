package org.toucansaddle.standins.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletionException;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.standins.experiment.FaultLoad.Story;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.FleetProcess;
import org.toucansaddle.standins.fleet.FleetSpec;
import org.toucansaddle.standins.fleet.FleetSpec.UpstreamGroup;
import org.toucansaddle.standins.fleet.RouterAddresses;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.journal.JournalReader;
import org.toucansaddle.standins.load.Balancer;
import org.toucansaddle.standins.load.Caller.Outcome;

/** Measures what callers get while routers, engines and services fail in a seeded order. */
final class FaultsExperiment implements Experiment {

  private static final long GRACE_MILLIS = 2_000;
  private static final long LEAVING_MILLIS = 3_000;
  private static final int PAUSE_MILLIS = 2_500;

  private final int atATime;

  /** Creates an experiment; {@code atATime} faults are in force together. */
  FaultsExperiment(int atATime) {
    this.atATime = atATime;
  }

  /** A fault and what undoes it. */
  private record Fault(String name, Runnable action, Runnable repair) {}

  @Override
  public Figures run(ExperimentRun run) {
    FleetSpec spec =
        FleetSpec.of(5)
            .withUpstreams(
                List.of(
                    new UpstreamGroup("engine", "engine-a", "model-a", 1, 8, 10),
                    new UpstreamGroup("engine", "engine-b", "model-a", 1, 8, 10),
                    new UpstreamGroup("engine", "engine-c", "model-a", 1, 8, 10),
                    new UpstreamGroup("engine", "engine-d", "model-a", 1, 8, 10),
                    new UpstreamGroup("service", "defects-a", "defects", 1, 8, 20),
                    new UpstreamGroup("service", "defects-b", "defects", 1, 8, 20)));
    try (Fleet fleet = Fleet.start(run.folder(), spec);
        HttpClient client = HttpClient.create(HttpClientSettings.defaults())) {
      fleet.awaitReady();
      fleet.createModelClass("summary", "model-a", "5s", "15s");
      fleet.createServiceClass("record", "defects", "10s");
      fleet.createAccount("lessor");
      SharingScenario.sleep(2_500);
      List<String> callers = fleet.routers().stream().map(RouterAddresses::callers).toList();
      try (Balancer balancer = new Balancer(callers, router -> isReady(client, router));
          FaultLoad load = new FaultLoad(balancer, fleet.keys().get("lessor"), 14, 5)) {
        List<Long> faultTimes = new ArrayList<>();
        long deadline = System.nanoTime() + Duration.ofSeconds(run.seconds()).toNanos();
        inject(fleet, client, run.seed(), deadline, faultTimes);
        ShutDown shutDown = shutDownGracefully(fleet, faultTimes);
        long leftAt = leave(fleet, client);
        SharingScenario.sleep(LEAVING_MILLIS + 2_000);
        load.stop();
        List<Story> stories = load.stories();
        fleet.close();
        List<JournalEntry> journal = JournalReader.read(fleet.journalFolder());
        return figures(stories, journal, faultTimes)
            .put("leaving_work_after_3s", startsAfter(journal, leftAt + LEAVING_MILLIS))
            .put("cut_by_shutdown", cut(stories, shutDown))
            .put("faults", faultTimes.size());
      }
    }
  }

  private static boolean isReady(HttpClient client, String router) {
    try {
      HttpRequest call = HttpRequest.get(router, "/readyz");
      return client.send(call, Duration.ofMillis(300)).join().status() == 200;
    } catch (CompletionException e) {
      return false;
    }
  }

  // ---- faults ----

  private void inject(Fleet fleet, HttpClient client, long seed, long deadline, List<Long> times) {
    List<Fault> faults = new ArrayList<>();
    for (String router : List.of("router-1", "router-2", "router-4")) {
      faults.add(kill(fleet.process(router)));
    }
    faults.add(freeze(fleet.process("router-5")));
    faults.add(freeze(fleet.process("router-3")));
    faults.add(kill(fleet.process("engine-a")));
    faults.add(freeze(fleet.process("engine-b")));
    faults.add(kill(fleet.process("defects-a")));
    for (String name : List.of("silent", "cross", "close")) {
      faults.add(engineFault(fleet, client, "engine-c", name));
    }
    Collections.shuffle(faults, new Random(seed));
    for (int i = 0; i < faults.size() && System.nanoTime() < deadline; i += atATime) {
      List<Fault> together = faults.subList(i, Math.min(faults.size(), i + atATime));
      System.out.println("faults: " + together.stream().map(Fault::name).toList());
      times.add(System.currentTimeMillis());
      together.forEach(fault -> fault.action().run());
      SharingScenario.sleep(PAUSE_MILLIS);
      together.forEach(fault -> fault.repair().run());
      SharingScenario.sleep(PAUSE_MILLIS / 2);
    }
  }

  private static Fault kill(FleetProcess process) {
    return new Fault("kill " + process.name(), process::kill, process::start);
  }

  private static Fault freeze(FleetProcess process) {
    return new Fault(
        "freeze " + process.name(), () -> process.signal("STOP"), () -> process.signal("CONT"));
  }

  private static Fault engineFault(Fleet fleet, HttpClient client, String engine, String fault) {
    return new Fault(
        fault + " " + engine,
        () -> switchFault(fleet, client, engine, fault, true),
        () -> switchFault(fleet, client, engine, fault, false));
  }

  private static void switchFault(
      Fleet fleet, HttpClient client, String engine, String fault, boolean on) {
    String body = "{\"fault\":\"" + fault + "\",\"on\":" + on + "}";
    String address = "127.0.0.1:" + fleet.upstreamPort(engine);
    client.send(HttpRequest.post(address, "/standin/fault", body), Duration.ofSeconds(2)).join();
  }

  /** A graceful shutdown: when it was asked for and when the process had ended. */
  private record ShutDown(long asked, long ended) {}

  private static ShutDown shutDownGracefully(Fleet fleet, List<Long> times) {
    RouterAddresses router = fleet.routers().get(3);
    FleetProcess process = fleet.process(router.name());
    long asked = System.currentTimeMillis();
    times.add(asked);
    process.terminate();
    process.await(30);
    long ended = System.currentTimeMillis();
    process.start();
    return new ShutDown(asked, ended);
  }

  private static long leave(Fleet fleet, HttpClient client) {
    String address = "127.0.0.1:" + fleet.upstreamPort("engine-d");
    client.send(HttpRequest.post(address, "/standin/leave", "{}"), Duration.ofSeconds(2)).join();
    return System.currentTimeMillis();
  }

  // ---- figures ----

  private static Figures figures(
      List<Story> stories, List<JournalEntry> journal, List<Long> faultTimes) {
    Map<String, Integer> recorded = new HashMap<>();
    journal.stream()
        .filter(e -> e.event().equals("recorded"))
        .forEach(e -> recorded.merge(e.text("key"), 1, Integer::sum));
    Map<Long, Long> started = ServiceGap.startTimes(journal);
    long notRunButRan =
        stories.stream()
            .filter(s -> s.last().run().equals("not-run"))
            .filter(s -> ran(s, recorded, started))
            .count();
    List<Story> calm = stories.stream().filter(s -> !isNearFault(s, faultTimes)).toList();
    long calmWhole = calm.stream().filter(s -> s.last().outcome() == Outcome.WHOLE).count();
    return new Figures()
        .put("requests", stories.size())
        .put("answered_whole", countLast(stories, Outcome.WHOLE))
        .put("refused_not_run", countRun(stories, "not-run"))
        .put("unknown", countRun(stories, "unknown") + countRun(stories, "run"))
        .put("wrong_answer", stories.stream().mapToLong(s -> s.answers(Outcome.WRONG)).sum())
        .put("double_answer", stories.stream().filter(s -> s.answers(Outcome.WHOLE) > 1).count())
        .put("lost_answer", countLast(stories, Outcome.LOST))
        .put("ran_twice", recorded.values().stream().filter(count -> count > 1).count())
        .put("not_run_but_ran", notRunButRan)
        .put("calm_requests", calm.size())
        .put("availability_ratio", (double) calmWhole / Math.max(1, calm.size()));
  }

  private static boolean ran(Story story, Map<String, Integer> recorded, Map<Long, Long> started) {
    return story.model()
        ? started.containsKey(story.promptHash())
        : recorded.containsKey(story.key());
  }

  private static boolean isNearFault(Story story, List<Long> faultTimes) {
    return faultTimes.stream()
        .anyMatch(t -> story.endedAt() >= t && story.sentAt() <= t + GRACE_MILLIS);
  }

  private static long countLast(List<Story> stories, Outcome outcome) {
    return stories.stream().filter(s -> s.last().outcome() == outcome).count();
  }

  private static long countRun(List<Story> stories, String run) {
    return stories.stream()
        .filter(s -> s.last().outcome() == Outcome.PROBLEM && s.last().run().equals(run))
        .count();
  }

  private static long startsAfter(List<JournalEntry> journal, long time) {
    return journal.stream()
        .filter(e -> e.event().equals("start") && e.text("engine").equals("engine-d"))
        .filter(e -> e.time() > time)
        .count();
  }

  /** Counts lost answers of requests under way while the router shut down. */
  private static long cut(List<Story> stories, ShutDown shutDown) {
    return stories.stream()
        .filter(s -> s.endedAt() >= shutDown.asked() && s.sentAt() <= shutDown.ended())
        .mapToLong(s -> s.answers(Outcome.LOST))
        .sum();
  }
}
