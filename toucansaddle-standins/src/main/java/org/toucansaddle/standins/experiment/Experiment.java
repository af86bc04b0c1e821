package org.toucansaddle.standins.experiment;

/** An experiment on real processes. */
@FunctionalInterface
public interface Experiment {

  /** Runs the experiment and returns its figures. */
  Measurements run(ExperimentRun run);
}
