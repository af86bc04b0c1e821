package org.toucansaddle.standins.experiment;

import java.util.Map;
import java.util.TreeMap;

/** The experiments by name. Stateless and thread-safe. */
public final class Experiments {

  private record Entry(Experiment experiment, int seconds) {}

  private static final Map<String, Entry> ALL =
      new TreeMap<>(
          Map.of(
              "configuration", new Entry(new ConfigurationExperiment(), 4),
              "control-traffic", new Entry(new ControlTrafficExperiment(), 4),
              "fairness", new Entry(new FairnessExperiment(), 20),
              "faults", new Entry(new FaultsExperiment(1), 42),
              "double-faults", new Entry(new FaultsExperiment(2), 30),
              "overload", new Entry(new OverloadExperiment(), 7),
              "slopes", new Entry(new SlopesExperiment(), 4),
              "utilisation", new Entry(new UtilisationExperiment(), 14)));

  private Experiments() {}

  /** Returns an experiment. */
  public static Experiment byName(String name) {
    return entry(name).experiment();
  }

  /** Returns the time that an experiment measures by default, in seconds. */
  public static int defaultSeconds(String name) {
    return entry(name).seconds();
  }

  private static Entry entry(String name) {
    Entry entry = ALL.get(name);
    if (entry == null) {
      throw new IllegalArgumentException(
          "There is no experiment '" + name + "'. Name one of " + ALL.keySet() + ".");
    }
    return entry;
  }
}
