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
 * <p>One fleet is the base; in each other one of the four is doubled. A slope is the difference of
 * a cost over what was added, for the daemon that pays most and for the mean of all.
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

  /** A fleet and its load. */
  private record Size(String name, int routers, int accounts, int upstreams, int perSecond) {}

  /** What coordination costs at a size. */
  private record Cost(ControlCost control, double heapMax) {}

  @Override
  public Figures run(ExperimentRun run) {
    Figures figures = new Figures();
    Cost base = measure(run, BASE);
    base.control().put(figures, "");
    figures.put("control_heap_bytes_max", base.heapMax());
    slope(run, figures, base, new Size("router", 8, 8, 8, 60), 4);
    slope(run, figures, base, new Size("account", 4, 16, 8, 60), 8);
    slope(run, figures, base, new Size("upstream", 4, 8, 16, 60), 8);
    slope(run, figures, base, new Size("request_per_s", 4, 8, 8, 120), 60);
    return figures;
  }

  private static void slope(ExperimentRun run, Figures figures, Cost base, Size size, int added) {
    Cost cost = measure(run, size);
    System.out.println(size + " " + cost);
    String per = "_per_" + size.name();
    figures
        .put(
            "bytes_per_s_max" + per,
            (cost.control().bytesMax() - base.control().bytesMax()) / added)
        .put(
            "bytes_per_s_mean" + per,
            (cost.control().bytesMean() - base.control().bytesMean()) / added)
        .put("cpu_ratio_max" + per, (cost.control().coresMax() - base.control().coresMax()) / added)
        .put(
            "cpu_ratio_mean" + per,
            (cost.control().coresMean() - base.control().coresMean()) / added)
        .put("heap_bytes_max" + per, (cost.heapMax() - base.heapMax()) / added);
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
      List<String> callers = fleet.routers().stream().map(RouterAddresses::callerAddress).toList();
      CompletableFuture<OpenLoopLoad.Outcome> outcome =
          CompletableFuture.supplyAsync(
              () ->
                  load.run(
                      callers,
                      fleet.accountKeys(),
                      WORK_CLASS,
                      size.perSecond(),
                      MEAN_TOKENS,
                      run.seconds() + 2,
                      TARGET_MILLIS));
      SharingScenario.sleep(1_000);
      ControlCost cost = ControlCost.measure(fleet, run.seconds());
      System.out.println(size.name() + " " + outcome.join());
      return new Cost(cost, ControlCost.heapMax(fleet));
    }
  }
}
