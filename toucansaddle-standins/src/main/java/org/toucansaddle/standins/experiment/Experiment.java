package org.toucansaddle.standins.experiment;

/** An experiment that runs and measures a fleet of real processes. */
@FunctionalInterface
public interface Experiment {

  /** Runs the experiment and returns its measurements; blocks until it is complete. */
  Measurements run(ExperimentRun run);
}
