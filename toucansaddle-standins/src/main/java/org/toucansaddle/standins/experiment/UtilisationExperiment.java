package org.toucansaddle.standins.experiment;

import org.toucansaddle.standins.experiment.SharingScenario.Trace;

/**
 * Measures slot time that is idle while requests wait; the baseline is sharing by each router
 * alone.
 *
 * <p>Stateless and thread-safe.
 */
final class UtilisationExperiment implements Experiment {

  private static final long WARM_UP_MILLIS = 2_000;

  @Override
  public Measurements run(ExperimentRun run) {
    Measurements measurements = measure(run, "fleet");
    return measurements.putBaseline(measure(run, "local"));
  }

  private static Measurements measure(ExperimentRun run, String mode) {
    Trace trace =
        SharingScenario.run(
            run.folder().resolve(mode),
            SharingScenario.fleetSpec(mode),
            SharingScenario.unevenLoads(run.seed()),
            run,
            SharingScenario.noOpObserver());
    SlotIdleness idleness =
        new SlotIdleness(
            trace.journal(),
            trace.requests(),
            SharingScenario.ENGINES,
            SharingScenario.SLOTS,
            trace.fromMillis() + WARM_UP_MILLIS,
            trace.toMillis());
    return new Measurements()
        .put("idle_while_waiting_ratio", idleness.idleRatio())
        .put("idle_span_max_ms", idleness.longestIdleMillis());
  }
}
