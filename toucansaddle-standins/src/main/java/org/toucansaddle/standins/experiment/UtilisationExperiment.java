package org.toucansaddle.standins.experiment;

import org.toucansaddle.standins.experiment.SharingScenario.Trace;

/** Measures slot time that is idle while work waits. */
final class UtilisationExperiment implements Experiment {

  private static final long WARM_UP_MILLIS = 2_000;

  @Override
  public Figures run(ExperimentRun run) {
    Figures figures = measure(run, "fleet");
    return figures.putBaseline(measure(run, "local"));
  }

  private static Figures measure(ExperimentRun run, String mode) {
    Trace trace =
        SharingScenario.run(
            run.folder().resolve(mode),
            SharingScenario.spec(mode),
            SharingScenario.uneven(run.seed()),
            run,
            SharingScenario.nothing());
    SlotIdleness idleness =
        new SlotIdleness(
            trace.journal(),
            trace.requests(),
            SharingScenario.ENGINES,
            SharingScenario.SLOTS,
            trace.from() + WARM_UP_MILLIS,
            trace.to());
    return new Figures()
        .put("idle_while_waiting_ratio", idleness.ratio())
        .put("idle_span_max_ms", idleness.longestSpanMillis());
  }
}
