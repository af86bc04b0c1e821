package org.toucansaddle.standins.experiment;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.standins.fleet.Fleet;
import org.toucansaddle.standins.fleet.FleetSpec;
import org.toucansaddle.standins.fleet.FleetSpec.UpstreamGroup;
import org.toucansaddle.standins.fleet.RouterAddresses;
import org.toucansaddle.standins.load.OpenLoopLoad;

/**
 * Measures how the cost of coordination grows with daemons, accounts, upstreams and requests.
 *
 * <p>Each further fleet doubles one of the four quantities of the base fleet. A slope is the added
 * cost per added unit, for the daemon with the highest cost and for the mean of all daemons.
 * Stateless and thread-safe.
 */
final class SlopesExperiment implements Experiment {

  private static final String POOL = "inspection-model";
  private static final String WORK_CLASS = "finding-summary";
  private static final int SLOTS = 8;
  private static final int STEP_MILLIS = 10;
  private static final int MEAN_TOKENS = 20;
  private static final int SETTLE_MILLIS = 2_500;
  private static final int TARGET_MILLIS = 30_000;

  private static final Size BASE = new Size("base", 4, 8, 8, 60);

  /** Size of a fleet and its load; printed with its component names. */
  private record Size(String name, int routers, int accounts, int upstreams, int perSecond) {}

  /**
   * Cost of coordination at one size; {@code heapMax} is in bytes. Printed with its component
   * names.
   */
  private record Cost(ControlCost control, double heapMax) {}

  @Override
  public Measurements run(ExperimentRun run) {
    Measurements measurements = new Measurements();
    Cost base = measure(run, BASE);
    base.control().addTo(measurements, "");
    measurements.put("control_heap_bytes_max", base.heapMax());
    measureSlope(run, measurements, base, new Size("router", 8, 8, 8, 60), 4);
    measureSlope(run, measurements, base, new Size("account", 4, 16, 8, 60), 8);
    measureSlope(run, measurements, base, new Size("upstream", 4, 8, 16, 60), 8);
    measureSlope(run, measurements, base, new Size("request_per_s", 4, 8, 8, 120), 60);
    return measurements;
  }

  private static void measureSlope(
      ExperimentRun run, Measurements measurements, Cost base, Size size, int addedCount) {
    Cost cost = measure(run, size);
    System.out.println(size + " " + cost);
    String nameSuffix = "_per_" + size.name();
    measurements
        .put(
            "bytes_per_s_max" + nameSuffix,
            (cost.control().maxBytesPerSecond() - base.control().maxBytesPerSecond()) / addedCount)
        .put(
            "bytes_per_s_mean" + nameSuffix,
            (cost.control().meanBytesPerSecond() - base.control().meanBytesPerSecond())
                / addedCount)
        .put(
            "cpu_ratio_max" + nameSuffix,
            (cost.control().maxCores() - base.control().maxCores()) / addedCount)
        .put(
            "cpu_ratio_mean" + nameSuffix,
            (cost.control().meanCores() - base.control().meanCores()) / addedCount)
        .put("heap_bytes_max" + nameSuffix, (cost.heapMax() - base.heapMax()) / addedCount);
  }

  private static Cost measure(ExperimentRun run, Size size) {
    FleetSpec spec =
        FleetSpec.of(size.routers())
            .withUpstreams(
                List.of(
                    new UpstreamGroup(
                        "engine", "slope-engine", POOL, size.upstreams(), SLOTS, STEP_MILLIS)));
    try (Fleet fleet = Fleet.start(run.folder().resolve(size.name()), spec);
        OpenLoopLoad load = new OpenLoopLoad(run.seed())) {
      fleet.awaitReady();
      fleet.createModelClass(WORK_CLASS, POOL, "20s", "30s");
      for (int i = 1; i <= size.accounts(); i++) {
        fleet.createAccount("account-" + i);
      }
      SharingScenario.sleep(SETTLE_MILLIS);
      List<String> callerAddresses =
          fleet.routers().stream().map(RouterAddresses::callerAddress).toList();
      CompletableFuture<OpenLoopLoad.Outcome> outcome =
          CompletableFuture.supplyAsync(
              () ->
                  load.run(
                      callerAddresses,
                      fleet.accountKeys(),
                      WORK_CLASS,
                      size.perSecond(),
                      MEAN_TOKENS,
                      run.seconds() + 2,
                      TARGET_MILLIS));
      SharingScenario.sleep(1_000);
      ControlCost cost = ControlCost.measure(fleet, run.seconds());
      System.out.println(size.name() + " " + outcome.join());
      return new Cost(cost, ControlCost.maxRetainedHeapBytes(fleet));
    }
  }
}
