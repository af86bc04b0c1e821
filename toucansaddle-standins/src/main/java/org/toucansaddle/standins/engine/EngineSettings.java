package org.toucansaddle.standins.engine;

import java.util.List;

/**
 * Settings of a stand-in engine. Immutable.
 *
 * @param id name, unique in its pool
 * @param port port it listens on, on loopback
 * @param pool name of the model that it holds at its start
 * @param slots requests it runs at a time
 * @param stepMillis time of a step, in milliseconds
 * @param zone availability zone
 * @param loadable models that it can be ordered to load
 * @param loadMillis time to load a model, in milliseconds
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record EngineSettings(
    String id,
    int port,
    String pool,
    int slots,
    int stepMillis,
    String zone,
    List<String> loadableModels,
    int loadMillis,
    boolean checksFencing) {

  /** Copies the list. */
  public EngineSettings {
    loadableModels = List.copyOf(loadableModels);
  }

  /** Creates settings of an engine that always holds the same model. */
  public EngineSettings(String id, int port, String pool, int slots, int stepMillis, String zone) {
    this(id, port, pool, slots, stepMillis, zone, List.of(), 0, false);
  }

  /** Returns these settings for an engine that takes orders. */
  public EngineSettings withPlacementOrders(List<String> models, int millis, boolean fencing) {
    return new EngineSettings(id, port, pool, slots, stepMillis, zone, models, millis, fencing);
  }
}
