package org.toucansaddle.standins.engine;

/**
 * Settings of a stand-in engine. Immutable.
 *
 * @param id name, unique in its pool
 * @param port port it listens on, on loopback
 * @param pool name of the model
 * @param slots requests it runs at a time
 * @param stepMillis time of a step, in milliseconds
 * @param zone availability zone
 */
public record EngineSettings(
    String id, int port, String pool, int slots, int stepMillis, String zone) {}
