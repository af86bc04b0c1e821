package org.toucansaddle.daemon.gateway;

import java.util.Locale;

/** Who decides which engine a request goes to. */
public enum PlacementMode {
  /** Each router, from the load that all routers report. */
  LOCAL,
  /** One control daemon for all routers; each router while that one does not answer. */
  GRANTED;

  /**
   * Returns the mode of a name, in any case.
   *
   * @throws IllegalArgumentException if there is none; the message names the modes
   */
  public static PlacementMode of(String name) {
    for (PlacementMode mode : values()) {
      if (mode.name().equalsIgnoreCase(name)) {
        return mode;
      }
    }
    throw new IllegalArgumentException(
        "The placement mode '"
            + name
            + "' does not exist; use "
            + LOCAL.name().toLowerCase(Locale.ROOT)
            + " or "
            + GRANTED.name().toLowerCase(Locale.ROOT)
            + ".");
  }
}
