package org.toucansaddle.standins.experiment;

import java.util.Map;
import java.util.TreeMap;

/** Registry of the experiments. Immutable and thread-safe. */
public final class Experiments {

  private record Registration(Experiment experiment, int defaultSeconds) {}

  private static final Map<String, Registration> REGISTRATIONS =
      new TreeMap<>(
          Map.of(
              "configuration", new Registration(new ConfigurationExperiment(), 4),
              "control-traffic", new Registration(new ControlTrafficExperiment(), 4),
              "fairness", new Registration(new FairnessExperiment(), 20),
              "faults", new Registration(new FaultsExperiment(1), 42),
              "double-faults", new Registration(new FaultsExperiment(2), 30),
              "overload", new Registration(new OverloadExperiment(), 7),
              "request-cost", new Registration(new RequestCostExperiment(), 5),
              "slopes", new Registration(new SlopesExperiment(), 4),
              "utilisation", new Registration(new UtilisationExperiment(), 14)));

  private Experiments() {}

  /**
   * Returns the experiment with a name.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static Experiment byName(String name) {
    return registrationOf(name).experiment();
  }

  /**
   * Returns the default length of the measured period of an experiment, in seconds.
   *
   * @throws IllegalArgumentException if there is no such experiment
   */
  public static int defaultSeconds(String name) {
    return registrationOf(name).defaultSeconds();
  }

  private static Registration registrationOf(String name) {
    Registration registration = REGISTRATIONS.get(name);
    if (registration == null) {
      throw new IllegalArgumentException(
          "There is no experiment '" + name + "'. Name one of " + REGISTRATIONS.keySet() + ".");
    }
    return registration;
  }
}
