package org.toucansaddle.standins.engine;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Fault switches of a stand-in engine. Thread-safe. */
final class EngineFaults {

  /** What an engine can do wrong. */
  enum Fault {
    /** Writes nothing more on the connections open now; new ones work. */
    SILENT,
    /** Runs no step. */
    FREEZE,
    /** Answers with the attempt ids of other requests. */
    CROSS,
    /** Closes each connection in the middle of its answer. */
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
