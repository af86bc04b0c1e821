package org.toucansaddle.standins.engine;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Set of faults that are active in a stand-in engine. Thread-safe. */
final class EngineFaults {

  /** Faults that can be injected. */
  enum Fault {
    /**
     * Stops writing on the connections of the running requests, without closing them. Requests that
     * start later are not affected.
     */
    SILENT,
    /** Runs no steps, so that no request makes progress. */
    FREEZE,
    /** Labels the tokens of a request with the attempt id of another running request. */
    CROSS,
    /** Closes each connection after three tokens of its completion. */
    CLOSE
  }

  private final Set<Fault> active = ConcurrentHashMap.newKeySet();

  boolean isActive(Fault fault) {
    return active.contains(fault);
  }

  void setActive(Fault fault, boolean on) {
    if (on) {
      active.add(fault);
    } else {
      active.remove(fault);
    }
  }
}
