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
import org.toucansaddle.standins.experiment.RetryingLoad.RequestHistory;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.FleetProcess;
import org.toucansaddle.standins.fleet.FleetSpec;
import org.toucansaddle.standins.fleet.FleetSpec.UpstreamGroup;
import org.toucansaddle.standins.fleet.RouterAddresses;
import org.toucansaddle.standins.journal.JournalEntry;
import org.toucansaddle.standins.journal.JournalReader;
import org.toucansaddle.standins.load.Balancer;
import org.toucansaddle.standins.load.Caller.Outcome;

/**
 * Measures the results that callers receive while routers, engines and services fail.
 *
 * <p>The order of the faults depends on the seed. Afterwards one router shuts down gracefully and
 * one engine leaves. Immutable and thread-safe.
 */
final class FaultsExperiment implements Experiment {

  private static final long FAULT_EFFECT_MILLIS = 2_000;
  private static final long DEPARTURE_GRACE_MILLIS = 3_000;
  private static final int FAULT_DURATION_MILLIS = 2_500;

  private final int concurrentFaults;

  /** Creates an experiment; {@code concurrentFaults} faults are active at the same time. */
  FaultsExperiment(int concurrentFaults) {
    this.concurrentFaults = concurrentFaults;
  }

  /** A fault, the action that injects it and the one that ends it. */
  private record Fault(String name, Runnable inject, Runnable recover) {}

  @Override
  public Measurements run(ExperimentRun run) {
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
      List<String> callerAddresses =
          fleet.routers().stream().map(RouterAddresses::callerAddress).toList();
      try (Balancer balancer = new Balancer(callerAddresses, router -> isReady(client, router));
          RetryingLoad load =
              new RetryingLoad(balancer, fleet.accountKeys().get("lessor"), 14, 5)) {
        List<Long> faultTimesMillis = new ArrayList<>();
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(run.seconds()).toNanos();
        injectFaults(fleet, client, run.seed(), deadlineNanos, faultTimesMillis);
        ShutdownPeriod shutdown = shutDownGracefully(fleet, faultTimesMillis);
        long departedAtMillis = requestDeparture(fleet, client);
        SharingScenario.sleep(DEPARTURE_GRACE_MILLIS + 2_000);
        load.stop();
        List<RequestHistory> requests = load.requestHistories();
        fleet.close();
        List<JournalEntry> journal = JournalReader.read(fleet.journalFolder());
        return summarize(requests, journal, faultTimesMillis)
            .put(
                "leaving_work_after_3s",
                countStartsAfter(journal, departedAtMillis + DEPARTURE_GRACE_MILLIS))
            .put("cut_by_shutdown", countLostDuring(requests, shutdown))
            .put("faults", faultTimesMillis.size());
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

  private void injectFaults(
      Fleet fleet, HttpClient client, long seed, long deadlineNanos, List<Long> faultTimesMillis) {
    List<Fault> faults = new ArrayList<>();
    for (String router : List.of("router-1", "router-2", "router-4")) {
      faults.add(killFault(fleet.process(router)));
    }
    faults.add(suspendFault(fleet.process("router-5")));
    faults.add(suspendFault(fleet.process("router-3")));
    faults.add(killFault(fleet.process("engine-a")));
    faults.add(suspendFault(fleet.process("engine-b")));
    faults.add(killFault(fleet.process("defects-a")));
    for (String name : List.of("silent", "cross", "close")) {
      faults.add(engineFault(fleet, client, "engine-c", name));
    }
    Collections.shuffle(faults, new Random(seed));
    for (int i = 0; i < faults.size() && System.nanoTime() < deadlineNanos; i += concurrentFaults) {
      List<Fault> activeFaults = faults.subList(i, Math.min(faults.size(), i + concurrentFaults));
      System.out.println("faults: " + activeFaults.stream().map(Fault::name).toList());
      faultTimesMillis.add(System.currentTimeMillis());
      activeFaults.forEach(fault -> fault.inject().run());
      SharingScenario.sleep(FAULT_DURATION_MILLIS);
      activeFaults.forEach(fault -> fault.recover().run());
      SharingScenario.sleep(FAULT_DURATION_MILLIS / 2);
    }
  }

  private static Fault killFault(FleetProcess process) {
    return new Fault("kill " + process.name(), process::kill, process::start);
  }

  private static Fault suspendFault(FleetProcess process) {
    return new Fault(
        "freeze " + process.name(), () -> process.signal("STOP"), () -> process.signal("CONT"));
  }

  private static Fault engineFault(Fleet fleet, HttpClient client, String engine, String fault) {
    return new Fault(
        fault + " " + engine,
        () -> setEngineFault(fleet, client, engine, fault, true),
        () -> setEngineFault(fleet, client, engine, fault, false));
  }

  private static void setEngineFault(
      Fleet fleet, HttpClient client, String engine, String fault, boolean enabled) {
    String body = "{\"fault\":\"" + fault + "\",\"on\":" + enabled + "}";
    String address = "127.0.0.1:" + fleet.upstreamPort(engine);
    client.send(HttpRequest.post(address, "/standin/fault", body), Duration.ofSeconds(2)).join();
  }

  /**
   * Period of a graceful shutdown, in milliseconds since the epoch.
   *
   * @param requestedAtMillis time of the shutdown request
   * @param exitedAtMillis time at which the process had exited
   */
  private record ShutdownPeriod(long requestedAtMillis, long exitedAtMillis) {}

  private static ShutdownPeriod shutDownGracefully(Fleet fleet, List<Long> faultTimesMillis) {
    RouterAddresses router = fleet.routers().get(3);
    FleetProcess process = fleet.process(router.name());
    long requestedAtMillis = System.currentTimeMillis();
    faultTimesMillis.add(requestedAtMillis);
    process.terminate();
    process.awaitExit(30);
    long exitedAtMillis = System.currentTimeMillis();
    process.start();
    return new ShutdownPeriod(requestedAtMillis, exitedAtMillis);
  }

  private static long requestDeparture(Fleet fleet, HttpClient client) {
    String address = "127.0.0.1:" + fleet.upstreamPort("engine-d");
    client.send(HttpRequest.post(address, "/standin/leave", "{}"), Duration.ofSeconds(2)).join();
    return System.currentTimeMillis();
  }

  private static Measurements summarize(
      List<RequestHistory> requests, List<JournalEntry> journal, List<Long> faultTimesMillis) {
    Map<String, Integer> recordCountsByKey = new HashMap<>();
    journal.stream()
        .filter(entry -> entry.event().equals("recorded"))
        .forEach(entry -> recordCountsByKey.merge(entry.text("key"), 1, Integer::sum));
    Map<Long, Long> startTimesMillis = ServiceGap.startTimesMillis(journal);
    long executedDespiteNotRun =
        requests.stream()
            .filter(request -> request.lastResult().runState().equals("not-run"))
            .filter(request -> wasExecuted(request, recordCountsByKey, startTimesMillis))
            .count();
    List<RequestHistory> unaffected =
        requests.stream().filter(request -> !isNearFault(request, faultTimesMillis)).toList();
    long unaffectedComplete =
        unaffected.stream()
            .filter(request -> request.lastResult().outcome() == Outcome.WHOLE)
            .count();
    return new Measurements()
        .put("requests", requests.size())
        .put("answered_whole", countByLastOutcome(requests, Outcome.WHOLE))
        .put("refused_not_run", countByRunState(requests, "not-run"))
        .put("unknown", countByRunState(requests, "unknown") + countByRunState(requests, "run"))
        .put(
            "wrong_answer",
            requests.stream().mapToLong(request -> request.countResults(Outcome.WRONG)).sum())
        .put(
            "double_answer",
            requests.stream().filter(request -> request.countResults(Outcome.WHOLE) > 1).count())
        .put("lost_answer", countByLastOutcome(requests, Outcome.LOST))
        .put("ran_twice", recordCountsByKey.values().stream().filter(count -> count > 1).count())
        .put("not_run_but_ran", executedDespiteNotRun)
        .put("calm_requests", unaffected.size())
        .put("availability_ratio", (double) unaffectedComplete / Math.max(1, unaffected.size()));
  }

  private static boolean wasExecuted(
      RequestHistory request,
      Map<String, Integer> recordCountsByKey,
      Map<Long, Long> startTimesMillis) {
    return request.modelRequest()
        ? startTimesMillis.containsKey(request.promptHash())
        : recordCountsByKey.containsKey(request.idempotencyKey());
  }

  private static boolean isNearFault(RequestHistory request, List<Long> faultTimesMillis) {
    return faultTimesMillis.stream()
        .anyMatch(
            faultTimeMillis ->
                request.endedAtMillis() >= faultTimeMillis
                    && request.sentAtMillis() <= faultTimeMillis + FAULT_EFFECT_MILLIS);
  }

  private static long countByLastOutcome(List<RequestHistory> requests, Outcome outcome) {
    return requests.stream().filter(request -> request.lastResult().outcome() == outcome).count();
  }

  private static long countByRunState(List<RequestHistory> requests, String runState) {
    return requests.stream()
        .filter(
            request ->
                request.lastResult().outcome() == Outcome.PROBLEM
                    && request.lastResult().runState().equals(runState))
        .count();
  }

  private static long countStartsAfter(List<JournalEntry> journal, long timeMillis) {
    return journal.stream()
        .filter(entry -> entry.event().equals("start") && entry.text("engine").equals("engine-d"))
        .filter(entry -> entry.timeMillis() > timeMillis)
        .count();
  }

  /** Counts lost attempts of the requests that overlap the shutdown of the router. */
  private static long countLostDuring(List<RequestHistory> requests, ShutdownPeriod shutdown) {
    return requests.stream()
        .filter(
            request ->
                request.endedAtMillis() >= shutdown.requestedAtMillis()
                    && request.sentAtMillis() <= shutdown.exitedAtMillis())
        .mapToLong(request -> request.countResults(Outcome.LOST))
        .sum();
  }
}
