package org.toucansaddle.standins.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.FleetSpec;
import org.toucansaddle.standins.fleet.FleetSpec.UpstreamGroup;
import org.toucansaddle.standins.fleet.RouterAddresses;
import org.toucansaddle.standins.load.OpenLoopLoad;
import org.toucansaddle.standins.load.StreamingLoad;

/** Measures one daemon at twice its peak share, and a fleet at three times its capacity. */
final class OverloadExperiment implements Experiment {

  private static final String POOL = "chart-model";
  private static final String WORK_CLASS = "short-answer";
  private static final int REQUESTS_PER_SECOND = 100;
  private static final int TOKENS = 280;
  private static final int STEP_MILLIS = 10;
  private static final int RELAY_SECONDS = 7;
  private static final int WARM_UP_SECONDS = 4;
  private static final int ENGINES = 4;
  private static final int OPTIMIZING_COMPILER = 4;
  private static final int GOODPUT_SECONDS = 8;
  private static final int GOODPUT_SLOTS = 16;
  private static final int GOODPUT_TOKENS = 100;
  private static final int WHOLE_MILLIS = 6_000;

  @Override
  public Figures run(ExperimentRun run) {
    Figures figures = new Figures();
    relay(run, figures);
    goodput(run, figures, "fleet", "");
    goodput(run, figures, "local", "baseline_");
    return figures;
  }

  // ---- one daemon ----

  private static void relay(ExperimentRun run, Figures figures) {
    FleetSpec spec =
        FleetSpec.of(1)
            .withCompilerLevel(OPTIMIZING_COMPILER)
            .withLogLevel("warn")
            .withUpstreams(
                List.of(
                    new UpstreamGroup("engine", "chart-engine", POOL, ENGINES, 120, STEP_MILLIS)));
    try (Fleet fleet = Fleet.start(run.folder().resolve("relay"), spec);
        StreamingLoad load = new StreamingLoad()) {
      fleet.awaitReady();
      fleet.createModelClass(WORK_CLASS, POOL, "30s", "60s");
      fleet.createAccount("captain");
      SharingScenario.sleep(2_500);
      List<String> router = List.of(fleet.routers().get(0).callerAddress());
      send(load, router, fleet, WARM_UP_SECONDS);
      load.reset();
      send(load, engines(fleet), fleet, RELAY_SECONDS);
      double directFirst = load.firstTokenP95Millis();
      double directGap = load.tokenGapP95Millis();
      load.reset();
      long pid = fleet.process("router-1").pid();
      double cpu = ProcessCounters.cpuSeconds(pid);
      long begin = System.nanoTime();
      send(load, router, fleet, RELAY_SECONDS);
      double cores = (ProcessCounters.cpuSeconds(pid) - cpu) / ((System.nanoTime() - begin) / 1e9);
      double perSecond =
          (double) REQUESTS_PER_SECOND * RELAY_SECONDS / ((System.nanoTime() - begin) / 1e9);
      figures
          .put("relay_cpu_cores", cores * REQUESTS_PER_SECOND / perSecond)
          .put("relay_tokens_per_s", REQUESTS_PER_SECOND * TOKENS)
          .put("relay_whole_share", load.wholeShare())
          .put("added_first_token_p95_ms", load.firstTokenP95Millis() - directFirst)
          .put("added_token_gap_p95_ms", load.tokenGapP95Millis() - directGap)
          .put("direct_token_gap_p95_ms", directGap);
    }
  }

  private static void send(StreamingLoad load, List<String> targets, Fleet fleet, int seconds) {
    String key = fleet.accountKeys().get("captain");
    load.run(targets, key, WORK_CLASS, REQUESTS_PER_SECOND, TOKENS, seconds);
  }

  private static List<String> engines(Fleet fleet) {
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      addresses.add("127.0.0.1:" + (fleet.upstreamPort("chart-engine") + i));
    }
    return addresses;
  }

  // ---- the fleet ----

  private static void goodput(ExperimentRun run, Figures figures, String mode, String prefix) {
    FleetSpec spec =
        FleetSpec.of(3)
            .withSharingMode(mode)
            .withUpstreams(
                List.of(
                    new UpstreamGroup(
                        "engine", "chart-engine", POOL, 2, GOODPUT_SLOTS / 2, STEP_MILLIS)));
    try (Fleet fleet = Fleet.start(run.folder().resolve("goodput-" + mode), spec);
        OpenLoopLoad load = new OpenLoopLoad(run.seed())) {
      fleet.awaitReady();
      fleet.createModelClass(WORK_CLASS, POOL, "2s", "6s");
      List.of("a", "b", "c", "d").forEach(fleet::createAccount);
      SharingScenario.sleep(2_500);
      double capacity = GOODPUT_SLOTS * 1_000.0 / STEP_MILLIS / GOODPUT_TOKENS;
      run(load, fleet, capacity, 3);
      OpenLoopLoad.Outcome one = run(load, fleet, capacity, GOODPUT_SECONDS);
      OpenLoopLoad.Outcome three = run(load, fleet, 3 * capacity, GOODPUT_SECONDS);
      System.out.println(mode + " at 1x " + one + " at 3x " + three);
      figures
          .put(prefix + "goodput_ratio", (double) three.wholeInTime() / one.wholeInTime())
          .put(prefix + "whole_in_time_share_at_1x", (double) one.wholeInTime() / one.sent())
          .put(prefix + "refusal_p95_ms", three.refusalP95Millis())
          .put(prefix + "wrong_or_lost", one.other() + three.other());
    }
  }

  private static OpenLoopLoad.Outcome run(
      OpenLoopLoad load, Fleet fleet, double perSecond, int seconds) {
    List<String> callers = fleet.routers().stream().map(RouterAddresses::callerAddress).toList();
    Map<String, String> keys = fleet.accountKeys();
    return load.run(callers, keys, WORK_CLASS, perSecond, GOODPUT_TOKENS, seconds, WHOLE_MILLIS);
  }
}
