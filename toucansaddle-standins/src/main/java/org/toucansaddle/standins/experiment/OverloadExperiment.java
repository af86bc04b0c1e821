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

/**
 * Measures the relay cost of one daemon at twice its peak share of the load, and the goodput of a
 * fleet at three times its capacity.
 *
 * <p>The baseline of the goodput is sharing by each router alone. Stateless and thread-safe.
 */
final class OverloadExperiment implements Experiment {

  private static final String POOL = "chart-model";
  private static final String WORK_CLASS = "short-answer";
  private static final int REQUESTS_PER_SECOND = 100;
  private static final int TOKENS = 280;
  private static final int STEP_MILLIS = 10;
  private static final int RELAY_SECONDS = 7;
  private static final int WARM_UP_SECONDS = 4;
  private static final int ENGINES = 4;
  private static final int OPTIMIZING_COMPILER_LEVEL = 4;
  private static final int GOODPUT_SECONDS = 8;
  private static final int GOODPUT_SLOTS = 16;
  private static final int GOODPUT_TOKENS = 100;
  private static final int RESPONSE_TARGET_MILLIS = 6_000;

  @Override
  public Measurements run(ExperimentRun run) {
    Measurements measurements = new Measurements();
    measureRelay(run, measurements);
    measureGoodput(run, measurements, "fleet", "");
    measureGoodput(run, measurements, "local", "baseline_");
    return measurements;
  }

  /**
   * Measures CPU usage and added latency of one router that relays streamed responses.
   *
   * <p>Added latency is the difference to the same requests sent directly to the engines.
   */
  private static void measureRelay(ExperimentRun run, Measurements measurements) {
    FleetSpec spec =
        FleetSpec.of(1)
            .withCompilerLevel(OPTIMIZING_COMPILER_LEVEL)
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
      List<String> routerAddresses = List.of(fleet.routers().get(0).callerAddress());
      sendStreams(load, routerAddresses, fleet, WARM_UP_SECONDS);
      load.reset();
      sendStreams(load, engineAddresses(fleet), fleet, RELAY_SECONDS);
      double directFirstTokenMillis = load.firstTokenP95Millis();
      double directTokenGapMillis = load.tokenGapP95Millis();
      load.reset();
      long pid = fleet.process("router-1").pid();
      double cpuSecondsBefore = ProcessCounters.cpuSeconds(pid);
      long beginNanos = System.nanoTime();
      sendStreams(load, routerAddresses, fleet, RELAY_SECONDS);
      double cores =
          (ProcessCounters.cpuSeconds(pid) - cpuSecondsBefore)
              / ((System.nanoTime() - beginNanos) / 1e9);
      double requestsPerSecond =
          (double) REQUESTS_PER_SECOND * RELAY_SECONDS / ((System.nanoTime() - beginNanos) / 1e9);
      measurements
          .put("relay_cpu_cores", cores * REQUESTS_PER_SECOND / requestsPerSecond)
          .put("relay_tokens_per_s", REQUESTS_PER_SECOND * TOKENS)
          .put("relay_whole_share", load.completeRatio())
          .put("added_first_token_p95_ms", load.firstTokenP95Millis() - directFirstTokenMillis)
          .put("added_token_gap_p95_ms", load.tokenGapP95Millis() - directTokenGapMillis)
          .put("direct_token_gap_p95_ms", directTokenGapMillis);
    }
  }

  private static void sendStreams(
      StreamingLoad load, List<String> targets, Fleet fleet, int seconds) {
    String key = fleet.accountKeys().get("captain");
    load.run(targets, key, WORK_CLASS, REQUESTS_PER_SECOND, TOKENS, seconds);
  }

  private static List<String> engineAddresses(Fleet fleet) {
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      addresses.add("127.0.0.1:" + (fleet.upstreamPort("chart-engine") + i));
    }
    return addresses;
  }

  /** Measures complete responses in time at triple capacity, relative to those at capacity. */
  private static void measureGoodput(
      ExperimentRun run, Measurements measurements, String mode, String namePrefix) {
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
      double capacityPerSecond = GOODPUT_SLOTS * 1_000.0 / STEP_MILLIS / GOODPUT_TOKENS;
      runLoad(load, fleet, capacityPerSecond, 3);
      OpenLoopLoad.Outcome atCapacity = runLoad(load, fleet, capacityPerSecond, GOODPUT_SECONDS);
      OpenLoopLoad.Outcome atTripleCapacity =
          runLoad(load, fleet, 3 * capacityPerSecond, GOODPUT_SECONDS);
      System.out.println(mode + " at 1x " + atCapacity + " at 3x " + atTripleCapacity);
      measurements
          .put(
              namePrefix + "goodput_ratio",
              (double) atTripleCapacity.wholeInTime() / atCapacity.wholeInTime())
          .put(
              namePrefix + "whole_in_time_share_at_1x",
              (double) atCapacity.wholeInTime() / atCapacity.sent())
          .put(namePrefix + "refusal_p95_ms", atTripleCapacity.refusalP95Millis())
          .put(namePrefix + "wrong_or_lost", atCapacity.other() + atTripleCapacity.other());
    }
  }

  private static OpenLoopLoad.Outcome runLoad(
      OpenLoopLoad load, Fleet fleet, double requestsPerSecond, int seconds) {
    List<String> callerAddresses =
        fleet.routers().stream().map(RouterAddresses::callerAddress).toList();
    Map<String, String> keysByAccount = fleet.accountKeys();
    return load.run(
        callerAddresses,
        keysByAccount,
        WORK_CLASS,
        requestsPerSecond,
        GOODPUT_TOKENS,
        seconds,
        RESPONSE_TARGET_MILLIS);
  }
}
