package org.toucansaddle.standins.experiment;

import org.toucansaddle.standins.fleet.Fleet;

/**
 * Measures the cost of coordination per daemon, idle and under the load of the fairness experiment.
 *
 * <p>Stateless and thread-safe.
 */
final class ControlTrafficExperiment implements Experiment {

  private static final int SETTLE_MILLIS = 4_000;
  private static final int WINDOW_SECONDS = 6;

  @Override
  public Measurements run(ExperimentRun run) {
    Measurements measurements = measure(run, "fleet");
    return measurements.putBaseline(measure(run, "local"));
  }

  private static Measurements measure(ExperimentRun run, String mode) {
    Measurements measurements = new Measurements();
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
            report(measurements, "rest_", ControlCost.measure(fleet, WINDOW_SECONDS));
          }

          @Override
          public void underLoad(Fleet fleet) {
            fleet.printMetrics("toucansaddle_peer_");
            report(measurements, "", ControlCost.measure(fleet, WINDOW_SECONDS));
            fleet.printMetrics("toucansaddle_peer_");
            measurements.put("control_heap_bytes_max", ControlCost.maxRetainedHeapBytes(fleet));
          }
        });
    return measurements;
  }

  private static void report(Measurements measurements, String prefix, ControlCost cost) {
    System.out.println(prefix + "bytes/s by daemon " + cost.bytesPerSecond());
    cost.addTo(measurements, prefix);
  }
}
