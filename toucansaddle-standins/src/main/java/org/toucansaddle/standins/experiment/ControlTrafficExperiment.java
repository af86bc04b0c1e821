package org.toucansaddle.standins.experiment;

import org.toucansaddle.standins.fleet.Fleet;

/** Measures what coordination costs each daemon, at rest and under the load of fairness. */
final class ControlTrafficExperiment implements Experiment {

  private static final int SETTLE_MILLIS = 4_000;
  private static final int WINDOW_SECONDS = 6;

  @Override
  public Measurements run(ExperimentRun run) {
    Measurements figures = measure(run, "fleet");
    return figures.putBaseline(measure(run, "local"));
  }

  private static Measurements measure(ExperimentRun run, String mode) {
    Measurements figures = new Measurements();
    SharingScenario.run(
        run.folder().resolve(mode),
        SharingScenario.fleetSpec(mode),
        SharingScenario.backloggedLoads(run.seed()),
        run,
        new SharingScenario.Observer() {
          @Override
          public void beforeLoad(Fleet fleet) {
            SharingScenario.sleep(SETTLE_MILLIS);
            fleet.printMetrics("toucansaddle_peer_");
            put(figures, "rest_", ControlCost.measure(fleet, WINDOW_SECONDS));
          }

          @Override
          public void underLoad(Fleet fleet) {
            fleet.printMetrics("toucansaddle_peer_");
            put(figures, "", ControlCost.measure(fleet, WINDOW_SECONDS));
            fleet.printMetrics("toucansaddle_peer_");
            figures.put("control_heap_bytes_max", ControlCost.maxRetainedHeapBytes(fleet));
          }
        });
    return figures;
  }

  private static void put(Measurements figures, String prefix, ControlCost cost) {
    System.out.println(prefix + "bytes/s by daemon " + cost.bytesPerSecond());
    cost.addTo(figures, prefix);
  }
}
