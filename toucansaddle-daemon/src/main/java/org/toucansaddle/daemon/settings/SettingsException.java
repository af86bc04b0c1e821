package org.toucansaddle.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for a settings file with faults; the message lists all of them. Immutable. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  /** Creates an exception for all faults of a file. */
  public SettingsException(String file, List<SettingsFault> faults) {
    super(
        "The settings file "
            + file
            + " has "
            + faults.size()
            + " fault(s):\n"
            + faults.stream().map(fault -> "  " + fault).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns all faults, in the order of the message. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
