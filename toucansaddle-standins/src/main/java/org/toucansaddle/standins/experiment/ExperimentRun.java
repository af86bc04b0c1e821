package org.toucansaddle.standins.experiment;

import java.nio.file.Path;

/**
 * Parameters of one run of an experiment. Immutable.
 *
 * @param name name of the experiment
 * @param seed seed of the random choices of load and faults
 * @param seconds length of the measured period, in seconds
 * @param folder folder of the run, for settings, logs, journals and data
 */
public record ExperimentRun(String name, long seed, int seconds, Path folder) {}
