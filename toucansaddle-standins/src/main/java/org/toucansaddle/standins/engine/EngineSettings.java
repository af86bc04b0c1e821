package org.toucansaddle.standins.engine;

import java.util.List;

/**
 * Settings of a stand-in engine. Immutable.
 *
 * @param id name, unique in its pool
 * @param port listening port on loopback
 * @param pool name of the model that is loaded at the start
 * @param slots number of requests that run concurrently
 * @param stepMillis duration of a step, in milliseconds
 * @param zone availability zone
 * @param loadableModels models that a placement order can make it load
 * @param loadMillis duration of a model load, in milliseconds
 * @param checksFencing whether it refuses placement orders with an outdated fencing token
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

  public EngineSettings {
    loadableModels = List.copyOf(loadableModels);
  }

  /** Creates settings of an engine that cannot load another model. */
  public EngineSettings(String id, int port, String pool, int slots, int stepMillis, String zone) {
    this(id, port, pool, slots, stepMillis, zone, List.of(), 0, false);
  }

  /**
   * Returns these settings with support for placement orders.
   *
   * @param models models that it can load
   * @param millis duration of a model load, in milliseconds
   * @param fencing whether it refuses placement orders with an outdated fencing token
   */
  public EngineSettings withPlacementOrders(List<String> models, int millis, boolean fencing) {
    return new EngineSettings(id, port, pool, slots, stepMillis, zone, models, millis, fencing);
  }
}
