package org.toucansaddle.standins.experiment;

import java.nio.file.Path;

/**
 * Parameters of one run. Immutable.
 *
 * @param name name of the experiment
 * @param seed seed of all random choices of the load
 * @param seconds time measured, in seconds
 * @param folder folder for settings, logs, journals and data
 */
public record ExperimentRun(String name, long seed, int seconds, Path folder) {}
